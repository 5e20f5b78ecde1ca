//! All decisions of an aggregator. The interface is `src/api.rs`; `src/state.rs`, `src/query_table.rs` and
//! `src/fleet.rs` hold plain records; `src/schedule.rs` and `src/part_index.rs` tell what a turn visits.
//!
//! Read from the top: what happens in a batch, then lists, arrivals, rows and turns, the choice of a server,
//! further attempts, replies, refusals, health, cold servers, and the width loop.

use crate::api::*;
use crate::demand::{Demand, mean_grants_within};
use crate::estimates::{self, WorkEstimate};
use crate::fleet::Fleet;
use crate::own::OwnTime;
use crate::query_table::QueryTable;
use crate::refusals::Assessment;
use crate::state::{Dice, Flight, Held, Learned, Piece, Server, Try, Width, never_ran, trim};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Share of calls ending full or timed out that the width loop steers to: the design's figure.
const WIDTH_TARGET: f64 = 0.02;
/// The controller's gains, proportional and derivative: the design's figures.
const WIDTH_GAINS: (f64, f64) = (1.0, 0.5);
/// Rows gained or lost a second per unit of relative error: a width change takes a few seconds to show.
const WIDTH_STEP: f64 = 0.25;
/// A second's relative error counts this much at most, so that one bad second cannot undo the width.
const WIDTH_ERROR_CAP: f64 = 2.0;
/// Length of the width loop's seconds: the design's figure.
const SECOND: Ms = 1000.0;

/// A row holder is clearly behind when its forecast passes that of the best other holder by this share of the
/// aim: smaller gains do not justify leaving the row.
const BEHIND_AIM: f64 = 0.06;
/// Crossing zones costs money and time: a holder elsewhere counts as behind by this share of the aim.
const CROSS_AIM: f64 = 0.05;
/// An error costs a new attempt; a server's forecast grows by its error share times this share of the aim.
const ERROR_AIM: f64 = 0.5;

/// Weight of one new outcome in a server's pace and error share: about the last five count.
pub(crate) const NEWS: f64 = 0.2;
/// Weight of an answer that took OVERDUE times its forecast: a broker that meets a server every few seconds
/// would else go on sending to a filled one for a minute.
const SLOW_NEWS: f64 = 0.3;
/// A pace without news returns to the fleet's by this share a second: slow servers are tried again.
const FORGET: f64 = 0.12;
/// Weight of one outcome in a zone's share of silence: about the last ten count.
const ZONE_NEWS: f64 = 0.1;
/// Pace before any news: milliseconds until an answer per millisecond of own work sent.
const FIRST_PACE: f64 = 0.8;
/// A time-out counts up to this many times the fleet's pace: it may have been lost, which tells of no pace.
const PACE_LOST: f64 = 4.0;
/// A hint moves the work of a part by this factor at most, either way.
const HINT_TRUST: f64 = 2.0;

/// A server is ejected when its error share passes this with so many failures in a row.
const EJECT_SHARE: f64 = 0.45;
const EJECT_RUN: u32 = 2;
/// First ejection, and the longest, in multiples of the shortest aim: long enough to spare its queries.
const EJECT_FIRST: f64 = 0.7;
const EJECT_LONGEST: f64 = 4.0;
/// A connection lost says little of a server that has answered what was sent this share of the aim before.
const ALIVE_AIM: f64 = 0.25;
/// A server that turned a part away is passed over for this share of the shortest aim.
const FULL_HOLD: f64 = 0.15;

/// An attempt is overdue at this many times its forecast, and this share of its class's aim: sooner, copies
/// double work that only queues, and blame its server.
pub(crate) const OVERDUE: f64 = 3.0;
const OVERDUE_AIM: f64 = 0.25;
/// A second copy goes once the attempt is late by this many times the copy's own forecast: late against its
/// own forecast, or the copy's if that is less, since an attempt at a slow server is not waited for.
const COPY: f64 = 2.0;
/// Where a copy must wait for the end of the overdue attempt, that is called off only while another forecasts
/// this share of the aim at most: on a busy fleet the work that it leaves behind would feed the overload.
const CALL_OFF_AIM: f64 = 0.15;
/// And once it is overdue, or this share of the aim has gone: later, another would hardly be in time.
const CALL_OFF_LATE: f64 = 0.4;
/// Where no rule sets a budget: free attempts, and a share of what was taken, in a window of so many aims.
const OWN_SPARE: f64 = 6.0;
const OWN_SHARE: f64 = 0.3;
const OWN_SPAN_AIMS: f64 = 1.5;

/// A query is refused on arrival when its forecast passes this share of its time: least and most, by worth.
const ADMIT: (f64, f64) = (0.5, 0.75);
/// How much longer than forecast queries take is learned, each counting so much, up to this share of the aim:
/// under the least of ADMIT, so that an idle fleet takes queries whatever was learned.
const LAG_NEWS: f64 = 0.1;
const LAG_AIM: f64 = 0.45;
/// So many attempts of a query that broke their connections make it suspect: one may be chance.
const SPOILED: usize = 2;
/// A part that a query can do without is left out while its holders all forecast more than this share of the
/// aim: else the queries with most parts keep filling the cells that lost servers, for those that need them.
const LEAVE_AIM: f64 = 0.12;
/// And more than so many times what is usual; the second for one not heard within an aim: where each
/// aggregator is one of many, such a server is filled unseen.
const LEAVE_USUAL: (f64, f64) = (3.0, 1.0);
/// So long, in shares of the aim, an answer waits for parts that are left out.
pub(crate) const LEAVE_WAIT: f64 = 0.5;
/// Most of the aim that is kept for a second step, whatever it took of late: the first has more parts.
const SECOND_AIM: f64 = 0.5;
/// A refused client is asked back after this share of what is left of its aim: late enough for a queue to
/// shrink, early enough for its repeat to be in time. Past its aim: after the longest time that it heeds.
pub(crate) const RETURN_AIM: f64 = 0.3;
/// A try has its class's usual time within this ratio. The usual is voted for: a try that has it counts
/// one, another takes this share away (in a storm few are first tries); it is believed from so many votes on.
const PATIENCE_SAME: f64 = 0.99;
const PATIENCE_SHARE: f64 = 0.15;
const PATIENCE_VOTES: f64 = 8.0;
/// A repeat's first try came within so many ticks of when it seems to have.
const REPEAT_TICKS: f64 = 2.0;
/// How much of the way from the parts' mean forecast to the slowest's counts for admission.
const SLOWEST: f64 = 0.5;
/// A tenant is over its share at this multiple of its even part of the quota: streams here are uneven.
const QUOTA_SLACK: f64 = 1.3;
/// A batch this share of the aim after it was due: this aggregator itself stood still.
const PAUSE_AIM: f64 = 0.05;
/// Ticks kept free before a client's time is up, for the way back and the batch in which it is seen.
pub(crate) const REPLY_TICKS: f64 = 2.0;
/// After so many aims without an answer, one that answers again is taken for just started.
const COLD_SILENCE: f64 = 2.5;
/// First and longest wait before the list is asked again, as shares of the time after which we count as told.
const ASK: (f64, f64) = (0.03, 0.3);
/// Share of a cold server's limit that all may use together: traffic comes in bursts, and part of it unseen.
const COLD_SAFE: f64 = 0.75;
/// Turns by chance add up to a number that scatters: so many times its root is kept free below the limit.
const COLD_SCATTER: f64 = 2.0;
/// And demand may grow all at once by this factor, as where the last warm server of a cell goes.
const COLD_SURGE: f64 = 2.0;
/// Sums of weights may fall this short: they are rounded on their way.
pub(crate) const ROUNDING: f64 = 5e-5;
/// With nothing in hand, look around this often, in ticks.
const IDLE_TICKS: f64 = 50.0;

/// The decisions of one aggregator.
pub struct Aggregator {
    pub(crate) set: Settings,
    dice: Dice,
    pub(crate) now: Ms,
    pub(crate) out: Vec<Action>,
    pub(crate) fleet: Fleet,
    pub(crate) queries: QueryTable,
    pub(crate) learned: Vec<Learned>,
    pub(crate) fleet_pace: f64,
    pub(crate) fleet_rescaled: f64,
    next_second: Ms,
    pub(crate) tenant_taken: Vec<VecDeque<Ms>>,
    ask_at: Option<Ms>,
    ask_wait: Ms,
    /// When the next batch is due.
    wake_at: Ms,
    pub(crate) shortest_aim: Ms,
    /// What this aggregator itself needs; nothing until its caller tells.
    pub(crate) own: OwnTime,
    /// Whether each turn looks at everything, and how much was looked at.
    pub(crate) visits_all: bool,
    pub(crate) visits: Cell<u64>,
}

impl Aggregator {
    /// An aggregator that knows only its settings. The same seed and events give the same actions.
    pub fn new(set: Settings, seed: u64) -> Self {
        let width = Width { rows: set.reach.max(1) as f64, ..Default::default() };
        let work = WorkEstimate::new(set.call_work);
        let served_rate = 1.0 / set.aggregators.max(1) as f64;
        let first = Learned { width, work, second: work.unit(), ..Default::default() };
        Aggregator {
            dice: Dice::new(seed),
            now: 0.0,
            out: Vec::new(),
            fleet: Fleet::default(),
            queries: QueryTable { demand: Demand::new(set.cells), served_rate, ..QueryTable::default() },
            learned: vec![first; set.classes.len()],
            fleet_pace: FIRST_PACE,
            fleet_rescaled: FIRST_PACE,
            next_second: f64::NEG_INFINITY,
            tenant_taken: vec![VecDeque::new(); set.tenants.len()],
            ask_at: (set.list == ListSource::OnRequest).then_some(f64::NEG_INFINITY),
            ask_wait: set.ask_within.min(set.cold.warm_after) * ASK.0,
            wake_at: f64::INFINITY,
            shortest_aim: set.shortest_aim(),
            own: OwnTime::default(),
            visits_all: false,
            visits: Cell::new(0),
            set,
        }
    }

    /// Takes all events of one moment and says what to do. Sends are decided last, so that they bundle.
    pub fn on_batch(&mut self, now: Ms, events: Vec<Event>) -> Vec<Action> {
        self.now = now;
        self.queries.paused = now > self.wake_at + PAUSE_AIM * self.shortest_aim;
        self.fleet.begin_batch();
        for event in events {
            match event {
                Event::List { kind, members } => self.hear_list(kind, members),
                Event::Query(query) => self.add_query(query),
                Event::Part(part) => self.add_part(part),
                Event::Ended { part, attempt, outcome, elapsed, load } => {
                    self.ended(part, attempt, outcome, elapsed, load)
                }
                Event::Connected { part, attempt, since } => {
                    if let Some(flight) = self.queries.in_flight.get_mut(&(part, attempt)) {
                        flight.connected = Some(since);
                    }
                }
                Event::Gone(id) => {
                    if let Some(q) = self.queries.by_id.remove(&id) {
                        self.learned[q.class].patience.note_unserved(q.asked);
                        self.forget(&id, &q);
                    }
                }
                Event::Unreachable(part) => self.mark_unreachable(&part),
                Event::Woken => self.wake_at = f64::INFINITY,
            }
        }
        estimates::rescale(&mut self.learned, &mut self.fleet.servers);
        if self.ask_at.take_if(|at| now >= *at).is_some() {
            self.out.push(Action::Watch);
        }
        self.each_second();
        for id in self.take_due_queries() {
            if let Some(mut query) = self.queries.by_id.remove(&id)
                && !self.run_query(&id, &mut query)
            {
                self.schedule_next_visit(&id, &mut query);
                self.queries.by_id.insert(id, query);
            }
        }
        self.set_wake();
        std::mem::take(&mut self.out)
    }

    fn set_wake(&mut self) {
        if self.wake_at == f64::INFINITY {
            let ticks = if self.queries.by_id.is_empty() { IDLE_TICKS } else { 1.0 };
            let after = ticks * self.set.tick.max(1.0);
            self.out.push(Action::Wake { after });
            self.wake_at = self.now + after;
        }
    }

    // ---- the list of servers

    fn hear_list(&mut self, kind: ListKind, members: Vec<Member>) {
        if kind == ListKind::Error {
            // A list service that fails is often asked too much: wait longer each time, spread out.
            let wait = self.ask_wait * (0.5 + self.dice.random());
            self.ask_at = (self.set.list == ListSource::OnRequest).then_some(self.now + wait);
            self.ask_wait = (self.ask_wait * 2.0).min(self.set.ask_within * ASK.1);
            return;
        }
        if kind != ListKind::Disk {
            self.ask_wait = self.set.ask_within.min(self.set.cold.warm_after) * ASK.0;
        }
        let whole = kind != ListKind::Changes || !self.fleet.rows_match(self.set.cells, self.set.reach);
        if kind != ListKind::Changes {
            self.fleet.servers.iter_mut().for_each(|s| s.state = NodeState::Gone);
        }
        let mut concerned = BTreeSet::new();
        for m in members {
            let server = self.fleet.find_or_insert(m.node.clone(), self.fleet_pace, self.fleet_rescaled);
            let was = self.fleet.serving_cell(server);
            self.hear_member(server, m);
            if !whole {
                self.fleet.move_server(server, was, &mut concerned);
            }
        }
        self.rebuild_rows((!whole).then_some(concerned));
    }

    fn hear_member(&mut self, server: usize, m: Member) {
        let s = &mut self.fleet.servers[server];
        s.cell = m.cell;
        s.state = m.state;
        s.zone = m.zone;
        if let Some(start) = m.started
            && start + self.set.cold.warm_after > self.now
            && s.cold_since.is_none_or(|c| c < start)
        {
            s.cold_since = Some(start);
            // What it was sent until this was told counts, as far as the new process may have got it.
            s.cold_sends.retain(|(t, _)| *t >= start);
        }
    }

    // ---- arrivals

    /// When the client first asked. Its tries share one limit, so a try with less time than the class's usual
    /// is a repeat that ends with it. Else a retry storm fills the fleet with answers past their aim.
    /// Unmarked, it is believed only where a usual patience shows, and where it would have begun with a query
    /// that went unserved: clients may turn impatient all at once, and their first tries are no repeats.
    pub(crate) fn first_asked(&mut self, class: usize, q: &Query) -> Ms {
        let left = q.patience_ends - self.now;
        let p = &mut self.learned[class].patience;
        let same = (left - p.usual).abs() <= (1.0 - PATIENCE_SAME) * p.usual;
        p.votes = (p.votes + if same { 1.0 } else { -PATIENCE_SHARE }).min(PATIENCE_VOTES * 2.0);
        if p.votes < 0.0 {
            (p.usual, p.votes) = (left, 1.0);
        }
        let shortened = left < p.usual * PATIENCE_SAME;
        let since = (q.patience_ends - self.set.classes[class].give_up).min(self.now);
        let usual = shortened && !self.set.marks_again && p.votes >= PATIENCE_VOTES;
        if shortened && q.again || usual && p.take_unserved(since, REPEAT_TICKS * self.set.tick) {
            since
        } else {
            self.now
        }
    }

    // ---- one query, once a batch

    /// Moves a query on. True once its final answer is given.
    fn run_query(&mut self, id: &RequestId, q: &mut Held) -> bool {
        self.update_late_parts(q);
        if self.may_reply(q) && self.reply(id, q) {
            return true;
        }
        let plan = !q.planned && q.step_from < q.pieces.len();
        if plan {
            q.planned = true;
            q.rebuild_index(&self.set, self.now);
            if q.first_whole.is_none() && !self.admit(id, q) {
                // Refusals bring no news: without this, one bad spell would be believed for ever.
                self.learned[q.class].lag *= 1.0 - LAG_NEWS / 2.0;
                q.forecast = 0.0;
                return self.end_unserved(id, q);
            }
            self.plan_rows(q);
            self.plan_reserve(q);
        }
        self.run_parts(q, plan);
        false
    }

    fn work(&self, q: &Held, i: usize) -> Ms {
        // Hints may be off by several times: they shift the measured work of a part, within bounds.
        let unit = self.learned[q.class].work.unit();
        q.pieces[i].hint.map_or(unit, |hint| hint.clamp(unit / HINT_TRUST, unit * HINT_TRUST))
    }

    // ---- rows and turns

    /// The ordinary path: random whole rows, parts by turns over them. The rows are neighbours, and turns run
    /// from the last to the first, one turn for all parts with the same holders: on a ring the parts of
    /// neighbouring shards then meet at one server, in a set those of one cell do, and share a call.
    fn plan_rows(&mut self, q: &mut Held) {
        let rows = q.pieces[q.step_from..].iter().map(|p| self.fleet.rows.holders(p.shard).len()).max();
        let rows = rows.unwrap_or(0).max(1);
        let wanted = self.learned[q.class].width.rows.clamp(1.0, rows as f64);
        let width = (wanted.floor() as usize + usize::from(self.dice.random() < wanted.fract())).min(rows);
        let first = self.dice.below(rows);
        let offset = self.dice.below(width);
        let mut turns: BTreeMap<usize, usize> = BTreeMap::new();
        for i in q.step_from..q.pieces.len() {
            let home = q.pieces[i].shard % self.set.cells.max(1);
            let next = turns.len();
            let turn = *turns.entry(home).or_insert(next);
            let row = (first + width - 1 - (offset + turn) % width) % rows;
            let holders = self.fleet.rows.holders(q.pieces[i].shard);
            q.pieces[i].row_holder = (!holders.is_empty()).then(|| holders[row % holders.len()]);
        }
    }

    /// An any-k class is asked for just enough parts at first; the rest wait until one is overdue or fails.
    /// Left out are the parts whose servers are furthest behind.
    fn plan_reserve(&mut self, q: &mut Held) {
        let class = &self.set.classes[q.class];
        let mut spare = if q.step_from == 0 { 1.0 - class.need } else { 0.0 };
        if spare <= ROUNDING {
            return;
        }
        let mut order: Vec<(f64, usize)> = (0..q.pieces.len())
            .map(|i| {
                let holder = q.pieces[i].row_holder;
                (holder.map_or(f64::INFINITY, |s| self.forecast(s, q.class, self.work(q, i))), i)
            })
            .collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, i) in order {
            if q.pieces[i].weight <= spare + ROUNDING {
                spare -= q.pieces[i].weight;
                q.pieces[i].reserve = true;
            }
        }
    }

    // ---- which server: the row holder, or a borrowed one

    /// Time until an answer for that much more work: work out at the server's pace, the time by which its
    /// oldest attempt is overdue (older than the newest answered: lost alone), errors, a full one's wait.
    fn forecast(&self, server: usize, class: usize, work: Ms) -> Ms {
        self.forecast_at(self.fleet.servers[server].pace.measured(), server, class, work)
    }

    fn forecast_at(&self, pace: f64, server: usize, class: usize, work: Ms) -> Ms {
        let s = &self.fleet.servers[server];
        let oldest = s.flying.iter().find(|(sent, _)| *sent > s.last_served_sent);
        let late = oldest.map_or(0.0, |(sent, expected)| self.now - sent - expected).max(0.0);
        let wait = late + (s.full_until - self.now).max(0.0);
        // Not heard for an aim: its zone's silence warns of it, so that a cut is not met at each server anew.
        let unheard = s.zone.filter(|_| s.heard < self.now - self.shortest_aim);
        let zone = unheard.and_then(|z| self.fleet.silence_by_zone.get(&z)).copied().unwrap_or(0.0);
        let own = s.of_class.get(&class).map_or(0.0, |c| c.errors);
        let errors = s.errors.max(zone).max(own) * ERROR_AIM * self.shortest_aim;
        pace * (self.others_work(s) + s.work_out + work) + wait + errors
    }

    /// Work of the call that a further part would open at this server; parts sent in this batch share theirs.
    fn call_work(&self, server: usize) -> Ms {
        let opens = self.fleet.servers[server].bundled.is_multiple_of(self.set.batch.max(1));
        if opens { self.set.call_work } else { 0.0 }
    }

    /// Whether a server may be picked at all: not ejected, not full, and within its allowance if cold.
    fn fit(&self, server: usize, work: Ms) -> bool {
        self.sound(server) && self.cold_room(server, work)
    }

    fn sound(&self, server: usize) -> bool {
        let s = &self.fleet.servers[server];
        (s.failures < EJECT_RUN || s.flying.is_empty()) && self.now >= s.shun_until
    }

    /// Whether a part for this server leaves our zone.
    fn crosses(&self, server: usize) -> bool {
        let zone = self.fleet.servers[server].zone;
        zone.is_some() && self.set.zone.is_some() && zone != self.set.zone
    }

    /// Borrow: the row holder unless it is unfit or clearly behind; then the holder with the best forecast. A
    /// server that this batch calls already needs no new call, so it is preferred. With no fit holder the
    /// best of the others serves: the last holder is never ejected. None: all are gone, or cold and filled.
    fn pick(&self, q: &Held, i: usize, room: impl Fn(&Self, usize, Ms) -> bool) -> Option<usize> {
        let piece = &q.pieces[i];
        let work = self.work(q, i);
        let class = &self.set.classes[q.class];
        let at_cold = self.learned[q.class].work.cold_work(work, class.aim);
        let room = |s: &usize| room(self, *s, at_cold);
        let fit = |s: &usize| self.sound(*s) && room(s);
        let used = |s: &usize| piece.tries.iter().any(|t| t.server == *s);
        let holders = self.fleet.rows.holders(piece.shard);
        let fresh = holders.iter().any(|s| !used(s));
        let open = |s: &usize| !(fresh && used(s));
        let cross = CROSS_AIM * self.set.classes[q.class].aim;
        let score = |s: usize| {
            let crossing = if self.crosses(s) { cross } else { 0.0 };
            self.forecast(s, q.class, work + self.call_work(s)) + crossing
        };
        let best = |of: &mut dyn Iterator<Item = usize>| of.min_by(|a, b| score(*a).total_cmp(&score(*b)));
        let Some(best_fit) = best(&mut holders.iter().copied().filter(|s| open(s) && fit(s))) else {
            return best(&mut holders.iter().copied().filter(|s| open(s) && room(s)));
        };
        let margin = BEHIND_AIM * self.set.classes[q.class].aim;
        // What this batch has put there shares the call: a row's holder is not behind for it.
        let own = |s: usize| self.fleet.servers[s].pace.measured() * self.fleet.servers[s].bundled_work;
        let keeps = |s: &usize| open(s) && fit(s) && score(*s) - own(*s) <= score(best_fit) + margin;
        piece.row_holder.filter(|s| holders.contains(s) && keeps(s)).or(Some(best_fit))
    }

    /// Notes that a part wants a server, and which cold one, if any, it would go to.
    fn want(&mut self, q: &Held, i: usize) {
        self.queries.demand.record_part(q.pieces[i].shard);
        let cold = |s: &usize| self.fleet.servers[*s].cold_since.is_some();
        if self.fleet.rows.holders(q.pieces[i].shard).iter().any(cold)
            && let Some(s) = self.pick(q, i, |_, _, _| true)
        {
            self.fleet.servers[s].wished = true;
        }
    }

    /// Whether a part is left out for now: an answer may be given without it, and its holders are all behind.
    /// The parts that were first keep the room that the floor gives, so that a query does not waver.
    fn leaves(&self, q: &Held, i: usize) -> bool {
        let class = &self.set.classes[q.class];
        let spare = if q.step_from == 0 { class.need - class.floor } else { 0.0 };
        let most = spare + ROUNDING;
        spare > ROUNDING && self.behind(q, i) && self.missing_weight_if_omitted(q, i, most) <= most
    }

    /// Whether no holder of a part's shard may be sent to and forecasts an answer soon.
    fn behind(&self, q: &Held, i: usize) -> bool {
        let (work, aim) = (self.work(q, i), self.set.classes[q.class].aim);
        let usual = self.fleet_pace * (work + self.set.call_work);
        let soon = |s: usize| {
            let heard = self.fleet.servers[s].heard > self.now - aim;
            let times = if heard { LEAVE_USUAL.0 } else { LEAVE_USUAL.1 };
            self.fit(s, work) && self.forecast(s, q.class, work) <= (LEAVE_AIM * aim).max(times * usual)
        };
        !self.fleet.rows.holders(q.pieces[i].shard).iter().copied().any(soon)
    }

    // ---- attempts

    /// Sends a part's first attempt, a retry of a failed one, or a second copy of an overdue one.
    /// False if none beyond a first may go in this turn.
    pub(crate) fn run_piece(&mut self, q: &mut Held, i: usize) -> bool {
        let piece = &q.pieces[i];
        if piece.served || piece.tried() >= q.max_attempts {
            return true;
        }
        let idle = piece.tries.last().is_none_or(|t| t.outcome.is_some());
        q.pieces[i].left = idle && self.leaves(q, i);
        let piece = &q.pieces[i];
        if piece.left {
            return true;
        }
        if piece.tries.is_empty() {
            if piece.reserve && !self.any_failed_or_late(q) {
                return true;
            }
            self.want(q, i);
            if let Some(s) = self.pick(q, i, Self::cold_room) {
                self.send(q, i, s);
            }
            return true;
        }
        if !Self::may_repeat(&self.set, self.now, q, piece) {
            return true;
        }
        if self.spoiled(q) {
            return false;
        }
        let out = piece.tries.iter().any(|t| t.outcome.is_none());
        let (age, expected) = piece.tries.last().map_or((0.0, 0.0), |t| (self.now - t.sent, t.expected));
        if out && !self.late(q, piece) {
            return true;
        }
        if !self.budget_left() {
            return false;
        }
        self.want(q, i);
        let Some(s) = self.pick(q, i, Self::cold_room) else { return true };
        let forecast = self.forecast(s, q.class, self.work(q, i) + self.call_work(s));
        // A copy must come in time to count, and the overdue one be late by more than a copy takes: on a busy
        // fleet copies then wait, on an idle one they go soon.
        let piece = &q.pieces[i];
        let newest = &piece.tries[piece.tries.len() - 1];
        let there = &self.fleet.servers[newest.server];
        let same = out && newest.server == s;
        // Nothing was heard from there since, and the query's other parts took far less: not slow but lost.
        let lost = there.heard < newest.sent && age > OVERDUE * self.max_served_time(q);
        let soon = age <= expected.min(forecast) + COPY * forecast;
        if out && (same || soon || !self.fit(s, 0.0) || self.now + forecast > self.useful_end(q)) {
            return true;
        }
        if out && !self.set.second_copies {
            // What is merely slow has most of its work behind it, which would be lost. To wait for
            // what is lost costs all parts that are in: the more of them, the longer another may take.
            let aim = self.set.classes[q.class].aim;
            let served = self.lost_and_served_counts(q).1 as f64 / q.pieces.len() as f64;
            let pays = if lost { served * (q.asked + aim - self.now) } else { 0.0 };
            let early = age <= (OVERDUE * expected).min(CALL_OFF_LATE * aim);
            if early || forecast > pays.max(CALL_OFF_AIM * aim) {
                return true;
            }
            // One attempt at most may be out: this one is called off, and once that is reported another goes.
            // To wait on would lose the query with a single answer that was lost or a single slow server.
            let attempt = piece.tries.len() as u32 - 1;
            self.out.push(Action::Cancel { part: piece.id.clone(), attempt });
            return true;
        }
        self.queries.extra_attempts.push_back(self.now);
        self.send(q, i, s);
        true
    }

    /// Asked for, not served, and its latest attempt has failed or is late.
    pub(crate) fn troubled(&self, q: &Held, p: &Piece) -> bool {
        !p.served && (self.late(q, p) || p.tries.last().is_some_and(|t| t.outcome.is_some()))
    }

    fn late(&self, q: &Held, p: &Piece) -> bool {
        let floor = self.late_floor(q);
        p.tries.last().is_some_and(|t| self.now - t.sent > t.expected.max(floor))
    }

    pub(crate) fn late_floor(&self, q: &Held) -> Ms {
        OVERDUE_AIM * self.step_time(q)
    }

    /// One part after another broke its connection, more than were served: the query itself may
    /// bring down each server that begins it. It is not tried further; with none served, it ends.
    /// Also holds where a zone or many servers die at once: such queries come back later. Others go on.
    /// A server that has answered since is up: it lost that connection alone.
    pub(crate) fn spoiled(&self, q: &Held) -> bool {
        let (broken, served) = self.lost_and_served_counts(q);
        broken >= SPOILED && broken > served
    }

    /// What the class lets us repeat (rule 2). Attempts that never ran do not count.
    pub(crate) fn may_repeat(set: &Settings, now: Ms, q: &Held, p: &Piece) -> bool {
        let mut live = p.tries.iter().filter(|t| !t.outcome.is_some_and(never_ran)).peekable();
        let out = p.tries.iter().filter(|t| t.outcome.is_none()).count();
        if out > usize::from(set.second_copies || set.cancel) {
            return false;
        }
        match set.classes[q.class].semantics {
            Semantics::Safe => true,
            Semantics::Unsafe => live.peek().is_none(),
            Semantics::Keyed { window } => live.peek().is_none_or(|t| now < t.sent + window),
        }
    }

    /// Room for one more attempt beyond a first in the rule's exact sliding window, or our own where none
    /// is set, so that retries and copies cannot feed an overload.
    fn budget_left(&mut self) -> bool {
        let span = OWN_SPAN_AIMS * self.shortest_aim;
        let own = AttemptBudget { spare: OWN_SPARE, per_request: OWN_SHARE, span };
        let rule = self.set.budget.unwrap_or(own);
        let from = self.now - rule.span;
        // The window's ends are taken so that neither reading of them allows more than the rule.
        trim(&mut self.queries.arrivals, from + self.set.tick);
        trim(&mut self.queries.extra_attempts, from - self.set.tick);
        (self.queries.extra_attempts.len() + 1) as f64
            <= rule.spare + rule.per_request * self.queries.arrivals.len() as f64
    }

    fn send(&mut self, q: &mut Held, i: usize, server: usize) {
        let work = self.work(q, i) + self.call_work(server);
        let own = if q.pieces[i].tries.is_empty() { q.own } else { self.own_time(1) };
        let forecast = self.forecast(server, q.class, work);
        let expected = forecast + own;
        let others = self.others_work(&self.fleet.servers[server]);
        let end = self.useful_end(q).min(q.give_up_at);
        let within = (end < q.give_up_at).then_some((end - self.now).max(self.set.tick));
        let at_cold = self.learned[q.class].work.cold_work(work, self.set.classes[q.class].aim);
        let s = &mut self.fleet.servers[server];
        s.work_out += work;
        s.bundled += 1;
        self.fleet.called_in_batch.push(server);
        s.bundled_work += work;
        s.flying.push((self.now, expected));
        s.note_sent(self.now, at_cold, self.set.cold.fall_after);
        let (class, scale, ahead) = (q.class, self.learned[q.class].work.scale(), others + s.work_out);
        let (sent, busy) = (self.now, self.own.busy);
        let connected = None;
        let flight = Flight { server, class, work, ahead, scale, sent, busy, connected, forecast, expected };
        let piece = &mut q.pieces[i];
        self.queries.in_flight.insert((piece.id.clone(), piece.tries.len() as u32), flight);
        piece.tries.push(Try { server, sent: self.now, expected, outcome: None, took: 0.0 });
        let node = self.fleet.servers[server].node.clone();
        self.out.push(Action::Send { part: piece.id.clone(), node, within });
    }

    /// Until when an answer still earns something.
    pub(crate) fn useful_end(&self, q: &Held) -> Ms {
        let class = &self.set.classes[q.class];
        let slack = REPLY_TICKS * self.set.tick;
        let end = if class.late_worth > 0.0 { q.give_up_at } else { q.asked + class.aim };
        end.min(q.give_up_at) - slack
    }

    /// Time that the second step takes of late; nothing for a class of one step, or once it runs.
    pub(crate) fn second(&self, q: &Held) -> Ms {
        let ahead = self.set.classes[q.class].second_step && q.first_whole.is_none();
        if ahead { self.learned[q.class].second } else { 0.0 }
    }

    /// The time of the aim that falls to the step at hand.
    fn step_time(&self, q: &Held) -> Ms {
        let start = if q.first_whole.is_some() { q.stepped - q.asked } else { 0.0 };
        (self.set.classes[q.class].aim - start - self.second(q)).max(self.set.tick)
    }

    // ---- replies

    /// Gives the final answer where its moment has come. True if the query has ended.
    fn reply(&mut self, id: &RequestId, q: &mut Held) -> bool {
        let class = &self.set.classes[q.class];
        let slack = REPLY_TICKS * self.set.tick;
        // A first answer, where a second step follows, goes early enough for that to be in time.
        let second_at = self.now + self.second(q) + slack;
        let step = &q.pieces[q.step_from..];
        let sum = |keep: &dyn Fn(&Piece) -> bool| -> f64 {
            step.iter().filter(|p| keep(p)).map(|p| p.weight).sum()
        };
        let have = sum(&|p| p.served);
        let spoiled = self.spoiled(q);
        let possible = sum(&|p| p.served || self.alive(q, p, spoiled));
        let second = q.first_whole.is_some();
        let whole = if second { step.iter().all(|p| p.served) } else { have + ROUNDING >= class.need };
        if !step.is_empty() && whole {
            return self.answer(id, q, q.first_whole.unwrap_or(true));
        }
        let floor = have > 0.0 && have + ROUNDING >= class.floor;
        let aim_over = second_at >= q.asked + class.aim;
        let over = self.now >= q.give_up_at - slack;
        // After a first answer that was not whole both ways earn its share, so that only the rest counts.
        let earns = if q.first_whole == Some(false) { 1.0 } else { class.partial_earns };
        let partial_worth = earns * have / class.need.max(ROUNDING);
        let can_be_whole = possible + ROUNDING >= if second { 1.0 } else { class.need };
        // Once the aim is reached, waiting is worth less where the rest cannot come or earns less by then;
        // before, each part that may still come adds to its share.
        let enough = aim_over && (!can_be_whole || partial_worth >= class.late_worth);
        let waits = self.now < q.asked + LEAVE_WAIT * class.aim;
        let coming = sum(&|p| p.served || ((waits || !p.left) && self.alive(q, p, spoiled)));
        if floor && (second_at >= q.give_up_at || enough || coming <= have + ROUNDING) {
            return self.answer(id, q, false);
        }
        // Between a first answer and the parts of the second step there is nothing to give up yet.
        let hopeless = !(second && step.is_empty()) && possible + ROUNDING < class.floor.min(class.need);
        let poison = spoiled && have == 0.0;
        if over || hopeless || poison || self.now >= self.useful_end(q) {
            return self.end_unserved(id, q);
        }
        false
    }

    /// Whether a part that is not in may still come.
    fn alive(&self, q: &Held, p: &Piece, spoiled: bool) -> bool {
        let left = p.tried() < q.max_attempts && (p.tries.is_empty() || !spoiled);
        p.tries.iter().any(|t| t.outcome.is_none()) || (left && !self.fleet.rows.holders(p.shard).is_empty())
    }

    fn answer(&mut self, id: &RequestId, q: &mut Held, whole: bool) -> bool {
        self.out.push(Action::Answer { query: id.clone(), whole });
        if whole && self.now <= q.asked + self.set.classes[q.class].aim {
            self.learned[q.class].probes.note_served(id, self.now);
        }
        if self.set.classes[q.class].second_step && q.first_whole.is_none() {
            self.cancel_in_flight(q);
            q.first_whole = Some(whole);
            q.stepped = self.now;
            q.step_from = q.pieces.len();
            q.rebuild_index(&self.set, self.now);
            return false;
        }
        self.forget(id, q);
        true
    }

    /// Ends a query unserved, at once and with advice: a refusal where a repeat is harmless, else a failure.
    /// A keyed part that may have run is harmless to repeat until its window ends; clients come rather late.
    fn end_unserved(&mut self, id: &RequestId, q: &mut Held) -> bool {
        self.learned[q.class].patience.note_unserved(q.asked);
        let class = &self.set.classes[q.class];
        let left = q.asked + class.aim - self.now;
        let useful = if left > 0.0 && !self.spoiled(q) { RETURN_AIM * left } else { f64::INFINITY };
        let retry_after = self.set.max_retry_after.map(|most| most.min(useful));
        let back = self.now + 2.0 * retry_after.unwrap_or(f64::INFINITY);
        let ran = |t: &&Try| !t.outcome.is_some_and(never_ran);
        let harmless = |t: &Try| match class.semantics {
            Semantics::Safe => true,
            Semantics::Keyed { window } => back < t.sent + window,
            Semantics::Unsafe => false,
        };
        let query = id.clone();
        let all = q.pieces.iter().flat_map(|p| &p.tries).filter(ran).all(harmless);
        self.out.push(if all { Action::Refuse { query, retry_after } } else { Action::Fail { query } });
        self.forget(id, q);
        true
    }

    fn forget(&mut self, id: &RequestId, q: &Held) {
        self.cancel_in_flight(q);
        self.queries.schedule.remove(id, q);
        let learned = &mut self.learned[q.class];
        let first_end = if q.first_whole.is_some() { q.stepped } else { self.now };
        if q.forecast > 0.0 && first_end > q.arrived {
            let lag = first_end - q.arrived - q.forecast;
            let most = LAG_AIM * self.set.classes[q.class].aim;
            learned.lag += LAG_NEWS * (lag.clamp(0.0, most) - learned.lag);
        }
        if q.first_whole.is_some() {
            let most = self.set.classes[q.class].aim * SECOND_AIM;
            learned.second += NEWS * ((self.now - q.stepped).min(most) - learned.second);
        }
        self.queries.groups.remove(&q.group);
        q.pieces.iter().for_each(|p| drop(self.queries.part_positions.remove(&p.id)));
    }

    // ---- refusals on arrival

    /// Whether a query can be served in time. Under load those that earn least for their work go first. The
    /// slowest part counts in part: copies may get round one whose holders all have an attempt overdue.
    fn admit(&mut self, id: &RequestId, q: &mut Held) -> bool {
        let over_share = self.over_share(q.tenant);
        let class = &self.set.classes[q.class];
        let (mut mean, mut slowest): (Ms, Ms) = (0.0, 0.0);
        let mut total = 0.0;
        let may_omit_parts = q.may_omit_parts(&self.set);
        for i in 0..q.pieces.len() {
            let work = self.work(q, i);
            total += work;
            let holders = self.fleet.rows.holders(q.pieces[i].shard);
            let least = |of: &mut dyn Iterator<Item = usize>| {
                // Whether there is time is told by paces that hold no time twice.
                let rescaled = |s: usize| self.fleet.servers[s].pace.rescaled();
                of.map(|s| self.forecast_at(rescaled(s), s, q.class, work)).reduce(f64::min)
            };
            // One that is passed over will not be sent to, however idle it looks for that.
            let sound = least(&mut holders.iter().copied().filter(|s| self.sound(*s)));
            let best = sound.or_else(|| least(&mut holders.iter().copied())).unwrap_or(f64::INFINITY);
            if may_omit_parts {
                q.unindex_part(i);
                q.pieces[i].left = self.leaves(q, i);
                q.index_part(&self.set, self.now, i);
            }
            if best.is_finite() && !q.pieces[i].left {
                mean += best / q.pieces.len() as f64;
                slowest = slowest.max(best);
            }
        }
        let mut density = class.worth / if self.set.worth_by_work { 1.0 } else { total.max(1.0) };
        let best = estimates::best_density(&mut self.learned, q.class, density, self.set.worth_by_work);
        if over_share {
            density *= self.set.over_share_worth;
        }
        let limit = ADMIT.0 + (ADMIT.1 - ADMIT.0) * density / best.max(f64::MIN_POSITIVE);
        let own = self.own_time(q.pieces.len());
        let forecast = mean + SLOWEST * (slowest - mean) + own;
        (q.forecast, q.own) = (forecast, own);
        // One that may still earn by a partial answer is worth more of a risk; a late one as to the lag only.
        // Nothing, where the client leaves before the aim: its repeats would fill the fleet with lost work.
        let stays = f64::from(q.give_up_at > q.asked + class.aim);
        let may = if class.floor < class.need { stays } else { 0.0 };
        let partial = may * class.partial_earns * class.floor / class.need.max(ROUNDING);
        let fallback = partial.max(stays * class.late_worth);
        let limit = limit + (1.0 - limit) * partial;
        let left = (q.asked + class.aim).min(q.give_up_at) - self.now - self.second(q);
        // Past its aim it is refused: it would earn the late worth at most.
        let (class, lag) = (ClassIndex(q.class), self.learned[q.class].lag * (1.0 - fallback));
        let assessment = Assessment { class, mean, slowest, own, forecast, lag, allowed: limit * left };
        let probes = &mut self.learned[q.class].probes;
        if assessment.admits() {
            probes.note_admitted();
            return true;
        }
        let in_time_yet = assessment.allowed > 0.0;
        if in_time_yet && probes.lets_in(id, self.now) {
            self.queries.refusals.probes += 1;
            return true;
        }
        probes.note_refused();
        self.queries.refusals.note(assessment);
        false
    }

    fn over_share(&mut self, tenant: usize) -> bool {
        let Some(times) = self.tenant_taken.get_mut(tenant) else { return false };
        let span = self.set.cold.warm_after.max(self.set.longest_wait());
        trim(times, self.now - span);
        let even = self.set.tenants[tenant].quota_per_s / self.set.aggregators.max(1) as f64;
        times.len() as f64 > QUOTA_SLACK * even * span / SECOND
    }

    // ---- health, from own outcomes

    fn ended(&mut self, part: RequestId, attempt: u32, outcome: Outcome, elapsed: Ms, load: Option<f64>) {
        if let Some(flight) = self.queries.in_flight.remove(&(part.clone(), attempt)) {
            self.landed(&flight, outcome, elapsed);
            self.record_reported_load(&flight, load);
        }
        self.finish_attempt(&part, attempt, outcome);
    }

    pub(crate) fn landed(&mut self, f: &Flight, outcome: Outcome, elapsed: Ms) {
        let silent = self.fleet.servers[f.server].went_silent;
        self.judge(f, outcome, elapsed);
        if silent != self.fleet.servers[f.server].went_silent {
            self.silence_changed(f.server);
        }
    }

    fn judge(&mut self, f: &Flight, outcome: Outcome, elapsed: Ms) {
        let elapsed = if elapsed.is_finite() { elapsed.max(0.0) } else { self.now - f.sent };
        let aim = self.shortest_aim;
        let jitter = 0.75 + 0.5 * self.dice.random();
        let (least, likely) = (self.least_time(f, elapsed), self.likely_time(f, elapsed));
        let s = &mut self.fleet.servers[f.server];
        s.landed(f);
        // Long overdue and nothing sent later was answered: a failure, even if a second copy was quicker and
        // this one was called off. The forecast grows with load, so load alone does not count.
        let overdue = !self.queries.paused && elapsed > (OVERDUE * f.expected).max(OVERDUE_AIM * aim);
        let silent = overdue && f.sent > s.last_served_sent;
        let quiet = outcome == Outcome::Cancelled && silent
            || matches!(outcome, Outcome::TimedOut | Outcome::NoConnection | Outcome::ConnectionLost);
        if let Some(zone) = s.zone.filter(|_| !self.queries.paused && (quiet || outcome == Outcome::Served)) {
            let share = self.fleet.silence_by_zone.entry(zone).or_default();
            *share += ZONE_NEWS * (f64::from(u8::from(quiet)) - *share);
        }
        // A server may fail one class and serve the others, whose answers then hide it: its own record.
        let own = s.of_class.entry(f.class).or_default();
        let lost = overdue && f.sent > own.last_served_sent && outcome != Outcome::Served;
        if lost || outcome == Outcome::Error {
            own.errors += SLOW_NEWS * (1.0 - own.errors);
        } else if outcome == Outcome::Served {
            own.errors *= 1.0 - SLOW_NEWS;
            own.last_served_sent = own.last_served_sent.max(f.sent);
        }
        let width = &mut self.learned[f.class].width;
        match outcome {
            Outcome::NotSent => return,
            // Seen late, since this aggregator stood still: no news of the server.
            Outcome::TimedOut if self.queries.paused => return,
            Outcome::Cancelled if !silent => return,
            Outcome::Served => {
                width.ended += 1;
                self.queries.served_work += if s.warm() { f.work } else { 0.0 };
                let likely = if self.queries.paused { likely.min(f.expected) } else { likely };
                let pace = likely / f.ahead.max(1.0);
                let news = if elapsed > OVERDUE * f.expected { SLOW_NEWS } else { NEWS };
                let work = &self.learned[f.class].work;
                match work.is_known() {
                    true => s.pace.observe(pace, pace * f.scale / work.scale(), news),
                    false => s.pace.observe_provisional(f.class, pace, work.scale() / f.scale, news),
                }
                s.heard = self.now;
                let quiet = f.sent - s.last_served_sent;
                s.last_served_sent = s.last_served_sent.max(f.sent);
                s.errors *= 1.0 - NEWS;
                s.failures = 0;
                s.ejection = 0.0;
                let started_by = f.connected.unwrap_or(self.now);
                let restarted = started_by > std::mem::replace(&mut s.answered_at, self.now);
                if s.went_silent && quiet > COLD_SILENCE * aim && restarted {
                    // Long silence, then an answer: a restart that the list may not show yet.
                    // What it was sent before, the process that fell silent may have got.
                    if s.cold_since.replace(started_by).is_none() {
                        s.cold_sends.clear();
                    }
                }
                s.went_silent = false;
                self.learned[f.class].work.observe(likely);
                return;
            }
            Outcome::Full => {
                width.ended += 1;
                width.bad += 1;
                // Each time longer while nothing is answered: a server that hangs is full for as long.
                s.ejection = (s.ejection * 2.0).clamp(FULL_HOLD * aim, EJECT_LONGEST * aim);
                s.full_until = self.now + s.ejection * jitter;
                s.shun_until = s.full_until;
                return;
            }
            Outcome::TimedOut => {
                // The backlog of a stall times out long after it: older than the newest answer it is no news.
                width.ended += 1;
                width.bad += u32::from(f.sent > s.last_served_sent);
                if f.sent <= s.last_served_sent {
                    return;
                }
                // It would have taken longer still: else a server full of work that will time out looks fast.
                let pace = (least / f.ahead.max(1.0)).min(PACE_LOST * self.fleet_pace);
                s.pace.observe_lower_bound(pace, NEWS);
                s.heard = self.now;
            }
            // Quick errors tell of the server, not of the load: the width loop leaves them to this.
            Outcome::Error | Outcome::Cancelled | Outcome::NoConnection | Outcome::ConnectionLost => {}
        }
        s.errors += NEWS * (1.0 - s.errors);
        s.failures += 1;
        // Nothing runs there or nothing gets there, whatever the load: passed over at once. One that has
        // answered what was sent later, or just before, has lost a connection and is up.
        let alive = s.last_served_sent + ALIVE_AIM * aim > f.sent && outcome == Outcome::ConnectionLost;
        let gone = matches!(outcome, Outcome::NoConnection | Outcome::ConnectionLost if !alive);
        s.went_silent |= gone || outcome == Outcome::TimedOut;
        let failing = s.failures >= EJECT_RUN && s.errors > EJECT_SHARE;
        if (gone || failing) && self.now >= s.shun_until {
            s.ejection = (s.ejection * 2.0).clamp(EJECT_FIRST * aim, EJECT_LONGEST * aim);
            s.shun_until = self.now + s.ejection * jitter;
        }
    }

    // ---- cold servers

    /// Whether a server that may be cold has room for more work within its window (rule 4), under a multiple
    /// of what it can do for all aggregators together. What all have served by a warm server is no more than
    /// that can do: so each keeps to that multiple of the cold share of what it has served by one. This
    /// needs no guess of cores or of others' traffic. Before it is known: to an even part, on one core.
    fn cold_room(&self, server: usize, work: Ms) -> bool {
        let s = &self.fleet.servers[server];
        let Some(since) = s.cold_since else { return true };
        let rule = &self.set.cold;
        let age = (self.now - since).max(0.0) / rule.warm_after.max(1.0);
        if age >= 1.0 {
            return true;
        }
        let capacity = rule.from + (1.0 - rule.from) * age;
        let most = COLD_SAFE * rule.fall_multiple * capacity * rule.fall_after;
        let (part, served) = (1.0 / self.set.aggregators.max(1) as f64, self.queries.served_rate);
        let share = served.max((part + served) / 2.0);
        let even = most * share;
        let from = self.now - rule.fall_after;
        let sent: Ms = s.cold_sends.iter().filter(|(t, _)| *t >= from).map(|(_, w)| w).sum();
        // An even part of less than one part's work is a turn, by chance that is drawn anew each second. A
        // turn is lost where no part is there to take it, so that the chance grows as those are rare: over
        // all aggregators, demand times chance then sums up to the turns meant, however many they are.
        let held = (!self.warm_beside(s)).then(|| self.set.longest_wait() / SECOND);
        let demand = self.queries.demand.server_share(s.cell, self.set.reach, held);
        let turns = mean_grants_within(most / (COLD_SAFE * work.max(1.0)), COLD_SCATTER) / COLD_SURGE;
        let turn = turns * share * SECOND / (rule.fall_after * demand);
        sent + work <= even || (sent == 0.0 && s.lot < turn)
    }

    /// Whether a warm server that may be sent to holds what this one does.
    fn warm_beside(&self, s: &Server) -> bool {
        let warm = |i: &usize| self.fleet.servers[*i].warm() && self.sound(*i);
        self.fleet.rows.holders(s.cell).iter().any(warm)
    }

    // ---- once a second: the width loop and the fleet's pace

    fn each_second(&mut self) {
        if self.now < self.next_second {
            return;
        }
        self.next_second = self.now + SECOND;
        for i in 0..self.learned.len() {
            self.steer_width(i);
        }
        let heard = self.fleet.servers.iter().filter(|s| s.heard > self.now - 4.0 * SECOND);
        let median = estimates::median_pace(heard.map(|s| &s.pace));
        // Nothing heard, as when all is refused after a bad spell: it fades, or it would be believed on.
        let unheard = if median.is_none() { FORGET } else { 0.0 };
        self.learned.iter_mut().for_each(|l| l.work.decay(unheard));
        let faded = |pace: f64| pace + FORGET * (FIRST_PACE - pace);
        let faded = (faded(self.fleet_pace), faded(self.fleet_rescaled));
        (self.fleet_pace, self.fleet_rescaled) = median.unwrap_or(faded);
        let cold = |s: &&Server| s.cold_since.is_some() && self.warm_beside(s);
        let wished: Vec<bool> = self.fleet.servers.iter().filter(cold).map(|s| s.wished).collect();
        self.queries.demand.end_second(NEWS, &wished);
        for s in &mut self.fleet.servers {
            if s.heard < self.now - SECOND {
                s.pace.move_towards(self.fleet_pace, self.fleet_rescaled, FORGET);
            }
            s.of_class.values_mut().for_each(|c| c.errors *= 1.0 - FORGET);
            if s.flying.is_empty() {
                s.errors *= 1.0 - FORGET;
            }
            (s.lot, s.wished) = (self.dice.random(), false);
            let window = self.now - self.set.cold.fall_after;
            s.cold_sends.retain(|(t, _)| *t >= window);
            s.cold_since = s.cold_since.filter(|c| c + self.set.cold.warm_after > self.now);
        }
        let warm = self.fleet.servers.iter().filter(|s| s.warm()).count();
        let served = std::mem::take(&mut self.queries.served_work) / SECOND / warm.max(1) as f64;
        if warm > 0 {
            self.queries.served_rate += NEWS * (served - self.queries.served_rate);
        }
        self.evict_gone_servers();
        self.budget_left(); // forgets what is past its window
    }

    /// One PD step on the share of calls that ended full or timed out; an empty second changes nothing.
    fn steer_width(&mut self, class: usize) {
        let w = &mut self.learned[class].width;
        if w.ended == 0 {
            return;
        }
        let rows = self.fleet.rows.max_holders().max(1);
        let share = f64::from(w.bad) / f64::from(w.ended);
        let error = ((WIDTH_TARGET - share) / WIDTH_TARGET).max(-WIDTH_ERROR_CAP);
        let change = WIDTH_GAINS.0 * error + WIDTH_GAINS.1 * (error - w.last_error);
        w.rows = (w.rows + WIDTH_STEP * change).clamp(1.0, rows as f64);
        (w.last_error, w.ended, w.bad) = (error, 0, 0);
    }
}
