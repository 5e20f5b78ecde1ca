//! Who is let in: the fronts, the program's life that they go by, and what operators call for.

use crate::front::Fronts;
use plover_model::query::QueryId;
use plover_model::time::Micros;
use plover_ops::{Call, Effect, Life, ShutdownTimes, Stage};
use tracing::{info, warn};

/// The fronts and the life that they go by. `shut` says in each call whether a part keeps the broker from being ready.
pub(crate) struct Doors {
    pub(crate) fronts: Fronts,
    life: Life,
    /// From then on, told to end, it waits for nobody.
    ends_by: Micros,
    /// How many queries had been asked then, and turns in which none came.
    quiet: Option<(QueryId, u32)>,
}

/// What is in the sockets when nobody is waited for any more is read and answered within so many turns.
const LAST_TURNS: u32 = 2;

impl Doors {
    /// Open, unless they are shut.
    pub(crate) fn new(fronts: Fronts, shut: bool) -> Self {
        let doors = Doors { fronts, life: Life::Serving, ends_by: Micros::MAX, quiet: None };
        doors.open(shut);
        doors
    }

    /// What a change of life asks of the fronts. Those that close their doors wait for what the system has accepted,
    /// which the loop does between two turns: [`Doors::close`].
    fn go(&self, effect: Effect, shut: bool) {
        match effect {
            Effect::Enter(Stage::Closing) | Effect::None => {}
            // One that lets nothing in yet is not ready, but what comes all the same is answered.
            Effect::Enter(Stage::Serving) if shut => self.fronts.go(Stage::Draining),
            Effect::Enter(stage) => self.fronts.go(stage),
        }
    }

    /// Serves, where nothing speaks against it.
    pub(crate) fn open(&self, shut: bool) {
        if self.life.is_ready() {
            self.go(Effect::Enter(Stage::Serving), shut);
        }
    }

    /// The program is to end; clients that are connected may stay for so long. False: it was to end already.
    pub(crate) fn terminate(&mut self, now: Micros, ending: ShutdownTimes, open_queries: usize) -> bool {
        let effect = self.life.terminate(now, ending.grace_period);
        if effect != Effect::None {
            self.ends_by = now + ending.kill_at;
            info!(name: "leaving", open_queries);
        }
        self.go(effect, false);
        effect != Effect::None
    }

    /// Heeds an operator's call: a status, and a text. `shut` says why a part keeps the broker from being ready.
    pub(crate) fn operate(
        &mut self,
        now: Micros,
        call: Call,
        shut: Option<String>,
        open_queries: usize,
        figures: impl FnOnce() -> String,
    ) -> (u16, String) {
        let name = |life: Life| life.name().to_owned();
        let changed = match call {
            Call::Ready if !self.life.is_ready() => return (503, name(self.life)),
            Call::Ready => return shut.map_or((200, name(self.life)), |why| (503, why)),
            Call::Telemetry => return (200, figures()),
            Call::Evacuate => self.life.evacuate(now),
            Call::Rejoin => self.life.rejoin(),
        };
        let Ok(effect) = changed else { return (409, "leaving: it is to end".to_owned()) };
        if effect != Effect::None {
            info!(name: "operated", call = ?call, life = self.life.name(), open_queries);
        }
        self.go(effect, shut.is_some());
        (200, name(self.life))
    }

    /// Moves on with time; closes for good once that is over. `superseded`: a newer process accepts at the same socket.
    /// True: nobody is connected any more, or nobody is waited for.
    pub(crate) async fn turn(&mut self, now: Micros, superseded: bool, asked: QueryId) -> bool {
        if self.life.is_ending() && superseded {
            self.fronts.leave_to_next().await;
            self.life.superseded(now);
        }
        let effect = self.life.tick(now);
        self.go(effect, false);
        if self.life == Life::Closed {
            self.fronts.close().await;
        }
        if self.life != Life::Closed {
            return false;
        }
        let open = self.fronts.open();
        let over = open > 0 && self.waits_for_nobody(now, asked);
        if over {
            warn!(name: "closed_on", connections = open);
        }
        over || open == 0
    }

    /// Whether the platform may end it by now, and nothing has come of late. Half a request that goes on, or an answer that is not
    /// read, would keep it else.
    fn waits_for_nobody(&mut self, now: Micros, asked: QueryId) -> bool {
        if now < self.ends_by {
            return false;
        }
        let turns = match self.quiet {
            Some((before, turns)) if before == asked => turns + 1,
            _ => 0,
        };
        self.quiet = Some((asked, turns));
        turns >= LAST_TURNS
    }

    /// When the next turn is due, if ever; a closing is looked at each tick.
    pub(crate) fn due(&self, next_tick: Micros) -> Option<Micros> {
        let closing = self.fronts.is_closing().then_some(next_tick);
        [self.life.due(), closing].into_iter().flatten().min()
    }
}
