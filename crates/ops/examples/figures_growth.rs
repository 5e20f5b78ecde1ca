//! Prints the size of a metrics response in bytes for several numbers of classes, as JSON lines. The gauge
//! `forwards` has ten digits.

use plover_ops::{Counters, Gauges};

fn main() {
    for classes in [1, 4, 16, 64, 128] {
        let mut counters = Counters::default();
        for n in 0..classes {
            counters.class_counter(&format!("class-{n:06}"));
        }
        let counts = 1_000_000_000;
        let gauges = Gauges {
            forwards: counts,
            discovered: 7800,
            ejected: 10,
            reloads_applied: 900,
            reloads_rejected: 1,
            recovery_phase: Some(0),
            connection_shortages: None,
        };
        println!("{{\"classes\": {classes}, \"bytes\": {}}}", counters.render(&gauges).len());
    }
}
