//! Trials: real brokers with faults between them. What a verdict rests on is in `docs/design/trial.md`.

mod drawn;
mod fleet;
mod soak;
