//! The owner of all hollow data servers of a run.

use super::task::{Account, Done, Fault, Task};
use super::times::Times;
use crate::plan::Plan;
use crate::process::{LineProcess, Usage};
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// What a fleet of hollow data servers is made of.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Servers; they take their places in the cells by turns.
    pub servers: usize,
    /// Cells; each holds shards of its own.
    pub cells: usize,
    /// Processes that share them.
    pub processes: usize,
    /// How long parts take.
    pub times: Times,
    /// After a start, a server is warm after this time.
    pub warm_after: Duration,
}

/// Hollow data servers over processes. Dropped, all of them end.
pub struct Fleet {
    shape: Shape,
    processes: Vec<LineProcess>,
    addresses: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts them. All holders of a shard are in one process, so that its account knows which parts are further attempts.
    pub fn start(plan: &Plan, shape: Shape) -> io::Result<Fleet> {
        let count = shape.processes.clamp(1, shape.cells.max(1));
        let mut processes = Vec::new();
        let mut numbers: Vec<Vec<u32>> = vec![Vec::new(); count];
        for n in 0..shape.servers {
            numbers[(n % shape.cells.max(1)) % count].push(n as u32);
        }
        for (p, numbers) in numbers.iter().enumerate() {
            let mut process = LineProcess::start(&plan.rig, "hollow-servers", &plan.guard)?;
            process.tell(&Task::Start {
                numbers: numbers.clone(),
                times: shape.times,
                reports: true,
                warm_after_us: shape.warm_after.as_micros() as u64,
                seed: plan.seed.wrapping_add(p as u64),
            })?;
            processes.push(process);
        }
        let mut addresses = vec![SocketAddr::from(([0, 0, 0, 0], 0)); shape.servers];
        for (process, numbers) in processes.iter_mut().zip(&numbers) {
            let Done::Listening(at) = process.answer(Duration::from_secs(60))? else {
                return Err(io::Error::other("the servers did not say where they listen"));
            };
            for (n, at) in numbers.iter().zip(at) {
                addresses[*n as usize] = at;
            }
        }
        Ok(Fleet { shape, processes, addresses })
    }

    /// Where each server listens.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// An entry of the list, in discovery's form.
    pub fn entry(&self, n: usize, state: &str, boot_ms: u64) -> Value {
        json!({"uid": format!("s{n:05}"), "endpoint": self.addresses[n].to_string(), "az": "z", "model": "m",
            "pod_group": n % self.shape.cells.max(1), "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms})
    }

    /// The entries of the first so many servers, all in service for long.
    pub fn entries(&self, first: usize) -> Vec<Value> {
        (0..first.min(self.addresses.len())).map(|n| self.entry(n, "active", 0)).collect()
    }

    /// Makes servers faulty, or sound again.
    pub fn fault(&mut self, numbers: impl IntoIterator<Item = u32>, fault: Fault) -> io::Result<()> {
        let numbers: Vec<u32> = numbers.into_iter().collect();
        for process in &mut self.processes {
            process.tell(&Task::Fault { numbers: numbers.clone(), fault })?;
        }
        for process in &mut self.processes {
            process.answer::<Done>(Duration::from_secs(60))?;
        }
        Ok(())
    }

    /// The account of all servers since the start, or since it was last emptied.
    pub fn account(&mut self, empty: bool) -> io::Result<Account> {
        for process in &mut self.processes {
            process.tell(&Task::Account { empty })?;
        }
        let mut sum = Account::default();
        for process in &mut self.processes {
            let Done::Account(one) = process.answer(Duration::from_secs(60))? else {
                return Err(io::Error::other("the servers did not give an account"));
            };
            sum = sum.and(&one);
        }
        Ok(sum)
    }

    /// What the processes have used so far: for their own cost, beside what they are there to measure.
    pub fn usage(&self) -> io::Result<Vec<Usage>> {
        self.processes.iter().map(LineProcess::usage).collect()
    }
}
