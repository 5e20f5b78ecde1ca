//! The smooth stand-in of the objective that a search goes down.
//!
//! The objective looks at the fullest node alone, so that where ten are equally full no single move helps. The stand-in puts a
//! high power mean in the place of each maximum: every one of the ten then counts, and the higher the power the closer the two.

use crate::layout::{Effect, Layout, MEASURES, Way};
use crate::proposal::Terms;

/// Powers of all shares, by measure.
pub(crate) struct Guide {
    /// The power is two to this.
    doublings: u32,
    pub weights: [f64; MEASURES],
    pub scale: [f64; MEASURES],
    sums: [f64; MEASURES],
    norms: [f64; MEASURES],
    slopes: [f64; MEASURES],
    powers: Vec<[f64; MEASURES]>,
    zones: Vec<f64>,
    /// Points that the links of zones gain at most.
    pub link_most: f64,
}

/// What a node that gives something up changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lift {
    /// Its powers after less those before.
    more: [f64; MEASURES],
    /// Points that this gains at most.
    pub most: f64,
}

impl Guide {
    pub(crate) fn new(layout: &Layout<'_>, doublings: u32) -> Guide {
        let w = &layout.model.settings.weights;
        let Terms { memory, processor, disk, link, reads, .. } = layout.terms();
        let mut guide = Guide {
            doublings,
            weights: [w.memory, w.processor, w.disk, w.link, w.reads],
            scale: [memory, processor, disk, link, reads].map(|most| most.max(0.02)),
            sums: [0.0; MEASURES],
            norms: [0.0; MEASURES],
            slopes: [0.0; MEASURES],
            powers: Vec::new(),
            zones: Vec::new(),
            link_most: 0.0,
        };
        for node in 0..layout.model.nodes.len() {
            let powers = guide.all_powers(&layout.shares(node));
            for (sum, power) in guide.sums.iter_mut().zip(powers) {
                *sum += power;
            }
            guide.powers.push(powers);
        }
        for zone in 0..layout.model.zones.len() {
            let power = guide.power(3, layout.zone_share(zone));
            guide.sums[3] += power;
            guide.zones.push(power);
        }
        guide.renew();
        guide
    }

    fn power(&self, measure: usize, share: f64) -> f64 {
        let mut power = share / self.scale[measure];
        for _ in 0..self.doublings {
            power *= power;
        }
        power
    }

    fn all_powers(&self, shares: &[f64; MEASURES]) -> [f64; MEASURES] {
        std::array::from_fn(|measure| self.power(measure, shares[measure]))
    }

    fn root(&self) -> f64 {
        1.0 / f64::from(1u32 << self.doublings)
    }

    fn renew(&mut self) {
        for measure in 0..MEASURES {
            let sum = self.sums[measure].max(0.0);
            self.norms[measure] = self.weights[measure] * self.scale[measure] * sum.powf(self.root());
            self.slopes[measure] = if sum > 0.0 { self.norms[measure] * self.root() / sum } else { 0.0 };
        }
        self.link_most = (-1.05 * self.worth(3, -self.zones.iter().sum::<f64>())).max(0.0);
    }

    /// What lowering a node by its powers would gain.
    pub(crate) fn pressure(&self, node: usize) -> f64 {
        self.powers[node].iter().zip(self.slopes).map(|(power, slope)| power * slope).sum()
    }

    /// Points that more of a measure's powers bring.
    fn worth(&self, measure: usize, more: f64) -> f64 {
        let sum = self.sums[measure];
        // The root bends down: its tangent is never under it, so what looks better along it is better.
        if more.abs() <= 0.02 * sum {
            return self.slopes[measure] * more;
        }
        let after = (sum + more).max(0.0).powf(self.root());
        self.weights[measure] * self.scale[measure] * after - self.norms[measure]
    }

    fn more(&self, node: usize, after: &[f64; MEASURES]) -> [f64; MEASURES] {
        std::array::from_fn(|measure| self.power(measure, after[measure]) - self.powers[node][measure])
    }

    /// What a node with these shares after changes, whoever gets what it gives.
    pub(crate) fn lift(&self, node: usize, after: &[f64; MEASURES]) -> Lift {
        let more = self.more(node, after);
        let gain = |measure: usize| (-self.worth(measure, more[measure])).max(0.0);
        // A tangent understates a gain, by a hundredth at most.
        Lift { more, most: 1.05 * (0..MEASURES).map(gain).sum::<f64>() }
    }

    /// Points that a node gains at most, whatever it gives up.
    pub(crate) fn whole_lift(&self, node: usize) -> f64 {
        let gain = |measure: usize| (-self.worth(measure, -self.powers[node][measure])).max(0.0);
        1.05 * (0..MEASURES).map(gain).sum::<f64>()
    }

    fn zone_more(&self, layout: &Layout<'_>, zone: usize, out: f64) -> f64 {
        let after = ((layout.zone_out(zone) + out) / layout.model.zone_rate[zone]).max(0.0);
        self.power(3, after) - self.zones[zone]
    }

    /// Points that a change brings, by measure and by the plain sums; under 0 is better.
    pub(crate) fn parts(
        &self,
        layout: &Layout<'_>,
        from: usize,
        to: usize,
        effect: &Effect,
    ) -> [f64; MEASURES + 1] {
        self.parts_of(layout, from, &self.more(from, &effect.from), to, &effect.to, &effect.way)
    }

    fn parts_of(
        &self,
        layout: &Layout<'_>,
        from: usize,
        less: &[f64; MEASURES],
        to: usize,
        after: &[f64; MEASURES],
        way: &Way,
    ) -> [f64; MEASURES + 1] {
        let mut more = self.more(to, after);
        if way.out_from != 0.0 || way.out_to != 0.0 {
            let nodes = &layout.model.nodes;
            more[3] += self.zone_more(layout, nodes[from].zone, way.out_from);
            more[3] += self.zone_more(layout, nodes[to].zone, way.out_to);
        }
        let mut parts = [way.plain; MEASURES + 1];
        for (measure, part) in parts.iter_mut().enumerate().take(MEASURES) {
            *part = self.worth(measure, less[measure] + more[measure]);
        }
        parts
    }

    /// Points that a change brings; under 0 is better.
    pub(crate) fn change(&self, layout: &Layout<'_>, from: usize, to: usize, effect: &Effect) -> f64 {
        self.parts(layout, from, to, effect).iter().sum()
    }

    /// The same, where what the giving node changes is known.
    pub(crate) fn shift(
        &self,
        layout: &Layout<'_>,
        from: usize,
        lift: &Lift,
        to: usize,
        after: &[f64; MEASURES],
        way: &Way,
    ) -> f64 {
        self.parts_of(layout, from, &lift.more, to, after, way).iter().sum()
    }

    /// Takes over what became of two nodes and their zones.
    pub(crate) fn follow(&mut self, layout: &Layout<'_>, from: usize, to: usize) {
        for node in [from, to] {
            let powers = self.all_powers(&layout.shares(node));
            for (measure, &power) in powers.iter().enumerate() {
                self.sums[measure] += power - self.powers[node][measure];
            }
            self.powers[node] = powers;
            let zone = layout.model.nodes[node].zone;
            let power = self.power(3, layout.zone_share(zone));
            self.sums[3] += power - self.zones[zone];
            self.zones[zone] = power;
        }
        self.renew();
    }
}
