//! What the tests of several modules begin with.

use brookbend::api::{Class, ColdRule, ListSource, Semantics, Settings};

/// Settings of a deployment of one shard, with one class.
pub(crate) fn settings() -> Settings {
    let class = Class {
        aim: 1000.0,
        give_up: 4000.0,
        worth: 1.0,
        late_worth: 0.0,
        semantics: Semantics::Safe,
        need: 1.0,
        floor: 1.0,
        partial_earns: 0.0,
        second_step: false,
    };
    let cold =
        ColdRule { initial_capacity: 0.2, warm_after: 10_000.0, overload_factor: 2.0, overload_time: 2000.0 };
    Settings {
        classes: vec![class],
        tenants: Vec::new(),
        aggregators: 1,
        zone: None,
        over_share_worth: 1.0,
        worth_by_work: false,
        clients_mark_retries: false,
        cells: 1,
        reach: 1,
        shards: 1,
        batch: 1,
        call_work: 0.0,
        max_attempts: 3,
        hedging: false,
        cancel: true,
        max_retry_after: None,
        tick: 5.0,
        list: ListSource::Pushed,
        list_deadline: 10_000.0,
        budget: None,
        cold,
    }
}
