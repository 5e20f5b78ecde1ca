//! The list by its size: what it costs at rest and to take a whole one; and hollow brokers beside real ones.
//!
//! Whole lists are told to brokers that run, by a discovery that forgot its history. Subjects of one size rest beside each
//! other, each with a discovery of its own, and are told in turn, round by round. The subject `alone` is one hollow broker in a
//! process: it stands beside a real one as it is, and `hollow_by_` is the one by the other.

use super::Sweep;
use crate::control::{Begun, Site, Spread, Told, Watchers, Window};
use crate::discovery::Counts;
use crate::plan::Plan;
use crate::report::{Sample, Unit};
use std::io;
use std::thread::sleep;
use std::time::Duration;

/// The sweep.
pub const SWEEP: Sweep = Sweep {
    name: "list",
    about: "Lists by size, at rest and taken whole, hollow brokers beside real ones",
    play,
    fitted: &[
        "whole_bytes_each",
        "whole_cpu_each",
        "whole_discovery_each",
        "resident_each",
        "resident_after_each",
        "first_thread_cores_each",
        "process_resident",
        "process_resident_after",
        "process_cores",
        "process_whole_cpu",
    ],
};

const SETTLES: Duration = Duration::from_millis(4500);
/// Two of the watch's long waits, with the little between them.
const RESTS: Duration = Duration::from_millis(8200);
/// The calls with the short wait after a change are over.
const PAUSE: Duration = Duration::from_millis(300);
/// Rounds of whole lists that are told at a size: their mean is taken.
const ROUNDS: u64 = 5;
/// Figures in which a hollow broker is held against a real one.
const HELD: [&str; 6] = [
    "calls_each",
    "bytes_each",
    "whole_bytes_each",
    "whole_cpu_each",
    "first_thread_cores_each",
    "resident_after_each",
];
/// One hollow broker whose operator has it come back at the fleet's pace: a part that stays in its turns.
const COMES_BACK: &str = "comes_back";
/// They are alike within this.
const ALIKE: f64 = 0.15;

/// Brokers with a discovery of their own.
struct Party {
    subject: String,
    site: Site,
    brokers: Watchers,
}

fn play(plan: &Plan, out: &mut Vec<Sample>) -> io::Result<()> {
    for &servers in plan.choose(&[200, 800, 2400, 7800][..], &[50, 100, 200, 400][..]) {
        plan.progress(&format!("list: {servers} servers"));
        by_size(plan, servers, out)?;
    }
    plan.progress("list: hollow brokers by their number in a process");
    by_number(plan, plan.choose(7800, 400), out)
}

fn party(plan: &Plan, servers: u32, subject: &str, count: u32) -> io::Result<Party> {
    let site = Site::start(servers)?;
    let brokers = match plan.brokers.iter().find(|b| b.label == subject) {
        Some(broker) => Watchers::Real(site.real(plan, count, &broker.path)?),
        None => Watchers::Hollow(site.hollows(plan, 0..count, 100, subject == COMES_BACK)?),
    };
    Ok(Party { subject: subject.to_owned(), site, brokers })
}

/// What each party costs while all rest beside each other; discovery's time is not told apart and left out.
fn rest(plan: &Plan, parties: &[Party], samples: &mut [Sample]) -> io::Result<()> {
    for party in parties {
        party.brokers.settle(&party.site, Duration::ZERO)?;
    }
    sleep(plan.choose(SETTLES, Duration::from_secs(1)));
    let begin = |p: &Party| Window::begin(&p.site, p.brokers.usage()?);
    let begun: Vec<Begun> = parties.iter().map(begin).collect::<io::Result<_>>()?;
    sleep(plan.choose(RESTS, Duration::from_secs(1)));
    for ((party, begun), sample) in parties.iter().zip(begun).zip(samples) {
        begun.end(&party.site, party.brokers.usage()?)?.put(sample, party.brokers.count());
        sample.figures.remove("discovery_cores");
    }
    Ok(())
}

/// A list of so many: what it costs at rest, and to take a whole one.
fn by_size(plan: &Plan, servers: u32, out: &mut Vec<Sample>) -> io::Result<()> {
    let (many, real) = plan.choose((20, 1), (4, 1));
    let mut parties = vec![
        party(plan, servers, "alone", 1)?,
        party(plan, servers, COMES_BACK, 1)?,
        party(plan, servers, "hollow", many)?,
    ];
    for broker in &plan.brokers {
        parties.push(party(plan, servers, &broker.label, real)?);
    }
    let sample = |p: &Party| {
        Sample::new("list", &p.subject, "servers", f64::from(servers))
            .with("brokers", f64::from(p.brokers.count()))
    };
    let mut samples: Vec<Sample> = parties.iter().map(sample).collect();
    rest(plan, &parties, &mut samples)?;
    // In turn, so that whatever else the machine does is shared by all.
    let mut taken: Vec<Taken> = parties.iter().map(|_| Taken::default()).collect();
    for round in 0..plan.choose(ROUNDS, 1) {
        for (party, taken) in parties.iter().zip(&mut taken) {
            taken.add(&party.brokers.tell(&party.site, 1, 1 + round, true)?);
            sleep(PAUSE);
        }
    }
    for ((party, taken), sample) in parties.iter().zip(taken).zip(&mut samples) {
        taken.put(party, sample)?;
    }
    if let [alone, _, _, real @ ..] = &samples[..] {
        out.extend(real.iter().map(|real| hold(alone, real)));
    }
    out.extend(samples);
    Ok(())
}

/// Whole lists that were taken.
#[derive(Default)]
struct Taken {
    rounds: u32,
    counts: Counts,
    cpu: Duration,
    discovery: Duration,
    times: Vec<Duration>,
}

impl Taken {
    fn add(&mut self, told: &Told) {
        self.rounds += 1;
        self.counts = self.counts + told.window.counts;
        self.cpu += told.window.first_threads;
        self.discovery += told.window.discovery;
        self.times.extend_from_slice(told.spread.times());
    }

    fn put(self, party: &Party, sample: &mut Sample) -> io::Result<()> {
        let count = f64::from(party.brokers.count());
        let each = count * f64::from(self.rounds);
        sample.put("whole_bytes_each", self.counts.bytes_out as f64 / each, Unit::Bytes);
        sample.put("whole_calls_each", self.counts.calls as f64 / each, Unit::Count);
        sample.put("whole_connections_each", self.counts.opened as f64 / each, Unit::Count);
        sample.put("whole_cpu_each", self.cpu.as_micros() as f64 / each, Unit::Micros);
        sample.put("whole_discovery_each", self.discovery.as_micros() as f64 / each, Unit::Micros);
        // One that connects anew is counted twice.
        sample.put("whole_missed", (each - self.times.len() as f64).max(0.0), Unit::Count);
        Spread::of(self.times).put(sample, "whole");
        let after = party.brokers.usage()?;
        sample.put("resident_after_each", after.resident as f64 / count, Unit::Bytes);
        sample.put("most_resident_each", after.most_resident as f64 / count, Unit::Bytes);
        Ok(())
    }
}

/// A hollow broker's figures by a real one's; those that are not alike are told.
fn hold(hollow: &Sample, real: &Sample) -> Sample {
    let mut sample = Sample::new("list", &format!("hollow_by_{}", real.subject), "servers", hollow.size);
    for figure in HELD {
        let (Some(one), Some(other)) = (hollow.get(figure), real.get(figure)) else { continue };
        sample.put(&format!("{figure}_ratio"), one / other, Unit::Ratio);
        if other != 0.0 && (one / other - 1.0).abs() > ALIKE {
            sample.notes.push(format!("{figure}: hollow {one:.6}, {} {other:.6}", real.subject));
        }
    }
    sample
}

/// Hollow brokers by their number in one process: what one more costs, whatever a process costs.
fn by_number(plan: &Plan, servers: u32, out: &mut Vec<Sample>) -> io::Result<()> {
    let counts = plan.choose([1, 5, 10, 20, 40], [1, 2, 4, 8, 16]);
    let parties: Vec<Party> =
        counts.iter().map(|count| party(plan, servers, "hollow", *count)).collect::<io::Result<_>>()?;
    let sample = |p: &Party| {
        Sample::new("list", &p.subject, "brokers_in_process", f64::from(p.brokers.count()))
            .with("servers", f64::from(servers))
    };
    let mut samples: Vec<Sample> = parties.iter().map(sample).collect();
    rest(plan, &parties, &mut samples)?;
    for (party, sample) in parties.iter().zip(&mut samples) {
        let count = f64::from(party.brokers.count());
        let of_all = |name: &str| sample.get(name).unwrap_or(0.0) * count;
        let (resident, cores) = (of_all("resident_each"), of_all("first_thread_cores_each"));
        sample.figures.clear();
        sample.put("process_resident", resident, Unit::Bytes);
        sample.put("process_cores", cores, Unit::Cores);
        let told = party.brokers.tell(&party.site, 1, 1, true)?;
        sample.put("process_whole_cpu", told.window.first_threads.as_micros() as f64, Unit::Micros);
        sample.put("process_resident_after", party.brokers.usage()?.resident as f64, Unit::Bytes);
    }
    out.extend(samples);
    Ok(())
}
