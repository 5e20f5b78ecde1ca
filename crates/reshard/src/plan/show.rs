//! A graph as a person reads it: the order, with bytes, times and the tightest bound of each step.

use super::entry::Entry;
use super::graph::Graph;
use super::next::{Seen, Way};
use super::progress::Progress;
use super::room::Short;
use super::shape::bytes;
use super::step::{Step, StepId};
use plover_model::time::{MILLI, Micros, SECOND};
use plover_ranges::NodeStatus;
use std::collections::BTreeSet;
use std::fmt::Write;

/// What is estimated of a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Times {
    /// When it begins, after the plan did, in time in which it may work.
    pub begin: Micros,
    /// When it ends.
    pub end: Micros,
    /// Bytes a second, of a copy.
    pub rate: u64,
    /// What it last waited for, of a copy.
    pub waited: Option<Short>,
}

/// Plays the plan through: copies at their rates, every other step a second. Hours, pauses and cold nodes are left
/// out: times count while it may work.
pub fn estimate(graph: &Graph) -> Vec<Times> {
    let mut calm = graph.clone();
    (calm.bounds.hours, calm.bounds.goodput, calm.bounds.p99) = (Vec::new(), None, None);
    calm.groups.iter_mut().for_each(|g| g.deadline = None);
    calm.nodes.values_mut().for_each(|n| n.status = NodeStatus::Warm);
    let mut times = vec![Times::default(); graph.steps.len()];
    let Ok(mut progress) = Progress::with(&calm, 0) else { return times };
    let (mut now, mut running) = (0, BTreeSet::new());
    loop {
        let next = progress.next(now, &Seen::default());
        for (step, short) in next.waits {
            times[step.0 as usize].waited = Some(short);
        }
        for start in &next.start {
            let Way::Forward(copy) = &start.way else { continue };
            let takes = match (&graph.steps[start.step.0 as usize].step, copy) {
                (Step::Copy { bytes, .. }, Some((_, rate))) => {
                    let micros = u128::from(*bytes) * u128::from(SECOND) / u128::from((*rate).max(1));
                    u64::try_from(micros).unwrap_or(u64::MAX)
                }
                _ => SECOND,
            };
            let time = &mut times[start.step.0 as usize];
            (time.begin, time.end) = (now, now.saturating_add(takes));
            time.rate = copy.as_ref().map_or(0, |(_, rate)| *rate);
            if progress.apply(&start.entry()).is_ok() {
                running.insert((time.end, start.step, start.token));
            }
        }
        // All that ends in the same moment ends before anything else begins.
        let Some((end, _, _)) = running.first().copied() else { return times };
        now = end;
        while let Some((_, step, token)) = running.first().copied().filter(|(at, _, _)| *at == now) {
            running.remove(&(now, step, token));
            if progress.apply(&Entry::Ended { step, token }).is_err() {
                return times;
            }
        }
    }
}

/// The graph as text, a line a step in the order in which they begin.
pub fn show(graph: &Graph) -> String {
    let times = estimate(graph);
    let mut order: Vec<usize> = (0..graph.steps.len()).collect();
    order.sort_by_key(|n| (times[*n].begin, *n));
    let copied = |n: &usize| if let Step::Copy { bytes, .. } = &graph.steps[*n].step { *bytes } else { 0 };
    let end = times.iter().map(|t| t.end).max().unwrap_or(0);
    let mut text = format!(
        "plan {} against {}: {} steps, {} copied, {} of work\n",
        graph.name,
        graph.map.version().0,
        order.len(),
        bytes(order.iter().map(copied).sum()),
        time(end)
    );
    for n in order {
        let (planned, times) = (&graph.steps[n], &times[n]);
        let group = &graph.groups[usize::from(planned.group)].name;
        let _ = write!(text, "{:>5} {:>10} {:>10}  {}", n, time(times.begin), time(times.end), planned.step);
        if let Step::Copy { from, to, bytes: size, .. } = &planned.step {
            let _ =
                write!(text, "  {} at {}/s by {}", bytes(*size), bytes(times.rate), graph.pace(from, to).1);
            if let Some(short) = &times.waited {
                let _ = write!(text, "; waited for {short}");
            }
        } else if let Some(bound) = tightest(graph, &planned.step) {
            let _ = write!(text, "  {bound}");
        }
        if !group.is_empty() {
            let _ = write!(text, "  [{group}]");
        }
        text.push('\n');
    }
    text
}

/// The bound that is nearest to a step that is no copy.
fn tightest(graph: &Graph, step: &Step) -> Option<String> {
    match step {
        Step::Switch { add: None, remove: Some(_), .. } => {
            Some(format!("least-in-service {}", graph.bounds.least_in_service))
        }
        Step::Drop { bytes: size, .. } => Some(format!("frees {}", bytes(*size))),
        _ => None,
    }
}

fn time(at: Micros) -> String {
    let seconds = at / SECOND;
    match seconds {
        0 if at > 0 => format!("{}ms", at.div_ceil(MILLI)),
        0..60 => format!("{seconds}s"),
        60..3600 => format!("{}m{:02}s", seconds / 60, seconds % 60),
        _ => format!("{}h{:02}m", seconds / 3600, seconds / 60 % 60),
    }
}

/// A step's name in what is shown.
pub fn name(graph: &Graph, id: StepId) -> String {
    graph.steps.get(id.0 as usize).map_or_else(|| format!("{id:?}"), |s| s.step.to_string())
}
