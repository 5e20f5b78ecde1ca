//! The decisions of an aggregator that serves each query from many shards.
//!
//! For each query the module chooses how many replica rows to use, spreads the query's parts over those rows
//! by round robin, and bundles the parts for one server into one call. It detects failing servers from the
//! outcomes of its own attempts, retries and hedges within a budget, answers, and refuses queries that cannot
//! be served in time.
//!
//! The module does no input or output: the caller hands it events and carries out the returned actions.
//!
//! ```
//! use brookbend::api::*;
//! use brookbend::Aggregator;
//!
//! let class = Class {
//!     aim: 1000.0, give_up: 4000.0, worth: 1.0, late_worth: 0.0, semantics: Semantics::Safe,
//!     need: 1.0, floor: 1.0, partial_earns: 0.0, second_step: false,
//! };
//! let settings = Settings {
//!     classes: vec![class], tenants: vec![], aggregators: 2, zone: None, over_share_worth: 1.0,
//!     worth_by_work: false, clients_mark_retries: false,
//!     cells: 3, reach: 2, shards: 3, batch: 8, call_work: 10.0, max_attempts: 3,
//!     hedging: true, cancel: true, max_retry_after: Some(500.0), tick: 5.0,
//!     list: ListSource::Pushed, list_deadline: 10_000.0, budget: None,
//!     cold: ColdRule {
//!         initial_capacity: 0.2, warm_after: 10_000.0, overload_factor: 2.0, overload_time: 2000.0,
//!     },
//! };
//! let mut aggregator = Aggregator::new(settings, 7);
//! let members = (0..3)
//!     .map(|cell| Member {
//!         node: NodeId(format!("10.0.0.{cell}:80").into()), cell, state: NodeState::Serving, zone: None,
//!         started: None,
//!     })
//!     .collect();
//! aggregator.on_batch(0.0, vec![Event::List { kind: ListKind::Disk, members }]);
//!
//! let query = RequestId::named("q");
//! let part = RequestId::named("p");
//! let actions = aggregator.on_batch(5.0, vec![
//!     Event::Query(Query {
//!         id: query.clone(), group: 1, class: ClassIndex(0), tenant: TenantIndex(0),
//!         deadline: 4005.0, client_deadline: 4005.0, max_attempts: None, is_retry: false,
//!     }),
//!     Event::Part(Part { id: part.clone(), group: 1, shard: 0, weight: 1.0, work_hint: None }),
//! ]);
//! assert!(matches!(&actions[0], Action::Send { part: sent, .. } if *sent == part));
//!
//! let outcome = Outcome::Served;
//! let ended = Event::Ended { part, attempt: 0, outcome, elapsed: 55.0, load: None };
//! let actions = aggregator.on_batch(60.0, vec![ended]);
//! assert!(actions.contains(&Action::Answer { query, whole: true }));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod choice;
mod consistency;
mod demand;
mod estimates;
mod fleet;
pub mod overhead;
mod part_index;
mod probe;
mod query_table;
mod reconfigure;
pub mod refusals;
pub mod retry_advice;
mod schedule;
pub mod settings;
pub mod snapshot;
mod state;
pub mod view;

pub use choice::Aggregator;
pub use reconfigure::NewClass;
