//! A keeper: one of the three or five that keep the log.
//!
//! What a keeper has to say leaves it only through [`Unsaved::save`], which writes to the disk first: there is no other way to an
//! [`Output`]. While something is unsaved the keeper is borrowed, so nothing can be heard in between.

use crate::disk::{self, Identity, Log, get, put};
use crate::peer::{ENTRY_MAX, PeerMessage, PeerSnapshot};
use crate::register::{Change, Command, DUTIES_MAX, Refusal, Register};
use crate::store::{Records, Store};
use crate::values::{DutyName, KeeperId, Lease, Term, Token};
use crate::wire::{Answer, Of, Word};
use plover_model::time::Micros;
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChange, ConfChangeSingle, ConfChangeTransition, ConfChangeType, ConfChangeV2, Entry, EntryType,
    Message, MessageType,
};
use raft::{Config, RawNode, SnapshotStatus, StateRole};
use std::collections::BTreeMap;

/// The most entries that wait for a majority; more are refused as [`Refusal::Busy`].
pub const PENDING_MAX: u64 = 256;
/// Ticks without the leader's word after which a keeper stands for election; each draws between once and twice that.
pub const ELECTION_TICKS: usize = 10;
/// A learner is made a voter when it is so few entries behind.
pub const PROMOTE_WITHIN: u64 = 8;

/// How a keeper works.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Between two ticks; the leader is heard of every other one.
    pub tick_every: Micros,
    /// So many entries are kept before they are folded into a snapshot.
    pub keep: usize,
    /// Chance comes from it: no two keepers share it.
    pub seed: u64,
}

/// What a group of keepers begins with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Founding {
    /// The group's number, drawn: words of another group are refused.
    pub group: u64,
    /// One to five; one is for tests.
    pub keepers: Vec<KeeperId>,
    /// The duties that there are from the start.
    pub duties: Vec<DutyName>,
    /// Of every grant.
    pub lease: Lease,
    /// All tokens are above it: 0, or, where an earlier group lost all its disks, what no receiver has seen.
    pub tokens_after: Token,
}

/// Why a keeper cannot start.
#[derive(Debug, thiserror::Error)]
pub enum NoStart<E> {
    /// The disk failed.
    #[error("the keeper's disk: {0}")]
    Store(E),
    /// The disk is empty: this keeper must come in under a new identity, see [`Keeper::join`].
    #[error("the keeper's disk is empty: it may only come in anew, under an identity never used")]
    Empty,
    /// The disk is not empty: founding or joining over it would forget a vote.
    #[error("the keeper's disk is in use")]
    InUse,
    /// What the disk holds does not fit together.
    #[error("the keeper's disk is damaged")]
    Damaged,
    /// The keepers named are not 1 to 5 different ones with this one among them, or an identity is 0.
    #[error("the keepers named do not fit")]
    Keepers,
    /// So many duties are named; [`DUTIES_MAX`] at the most.
    #[error("{0} duties are named: {DUTIES_MAX} at the most")]
    Duties(usize),
}

/// Where a keeper is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It leads: a majority has answered within the last election's time.
    Leading,
    /// Another leads.
    Following(KeeperId),
    /// It knows of no leader: as far as it can tell there is no majority, and nobody is granted anything.
    Leaderless,
    /// It has no vote.
    Learning,
    /// Its disk failed: it does nothing any more.
    Failed,
}

/// What was applied from the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The entry's place.
    pub index: u64,
    /// Its term.
    pub term: Term,
    /// What it says.
    pub command: Command,
    /// What came of it.
    pub result: Result<Change, Refusal>,
}

/// What to do after the disk has what it must.
#[must_use]
#[derive(Debug, Default)]
pub struct Output {
    /// To other keepers.
    pub words: Vec<(KeeperId, Word)>,
    /// To processes. Only the leading keeper answers.
    pub answers: Vec<Answer>,
    /// In order.
    pub applied: Vec<Applied>,
}

/// What must be durable before anything else happens.
#[must_use = "the keeper stands still until this is saved"]
pub struct Unsaved<'a> {
    keeper: &'a mut Keeper,
    ready: Option<raft::Ready>,
    records: Records,
}

impl Unsaved<'_> {
    /// Writes to the disk, and gives what may leave the keeper after that.
    ///
    /// # Errors
    /// Where the disk fails: the keeper is [`Standing::Failed`] from then on.
    pub fn save<S: Store>(self, now: Micros, store: &mut S) -> Result<Output, S::Error> {
        if self.records != Records::default()
            && let Err(error) = store.save(&self.records)
        {
            self.keeper.failed = true;
            return Err(error);
        }
        let mut output = Output::default();
        if let Some(ready) = self.ready {
            self.keeper.saved(now, ready, &mut output);
        }
        Ok(output)
    }
}

/// When a lease is over, on this keeper's clock: counted from when it applied the grant or the last renewal.
#[derive(Debug)]
struct Watch {
    token: Token,
    renewals: u64,
    lapse_at: Micros,
}

/// A keeper.
pub struct Keeper {
    identity: Identity,
    settings: Settings,
    raw: RawNode<Log>,
    register: Register,
    applied: u64,
    watches: BTreeMap<DutyName, Watch>,
    ticked: Option<Micros>,
    chance: u64,
    /// A snapshot that the disk does not have yet.
    folded: Option<Records>,
    failed: bool,
}

impl Keeper {
    /// Founds a group: each of its keepers does so once, with the same `founding`.
    ///
    /// # Errors
    /// See [`NoStart`].
    pub fn found<S: Store>(
        store: &mut S,
        id: KeeperId,
        founding: &Founding,
    ) -> Result<(), NoStart<S::Error>> {
        let Founding { group, keepers, duties, lease, tokens_after } = founding;
        if duties.len() > DUTIES_MAX {
            return Err(NoStart::Duties(duties.len()));
        }
        let register = Register::new(duties, keepers, *tokens_after, *lease);
        let voters: Vec<u64> = keepers.iter().map(|k| k.0).collect();
        let snapshot =
            PeerSnapshot { index: 1, term: 1, voters, data: put(&register), ..PeerSnapshot::default() };
        if !snapshot.fits() || keepers.len() > 5 || !keepers.contains(&id) {
            return Err(NoStart::Keepers);
        }
        begin(store, Identity { group: *group, id: id.0 }, &snapshot)
    }

    /// Prepares the empty disk of a keeper that comes in under an identity never used; the group takes it by [`Command::Join`].
    ///
    /// # Errors
    /// See [`NoStart`].
    pub fn join<S: Store>(store: &mut S, group: u64, id: KeeperId) -> Result<(), NoStart<S::Error>> {
        if id.0 == 0 {
            return Err(NoStart::Keepers);
        }
        begin(store, Identity { group, id: id.0 }, &PeerSnapshot::default())
    }

    /// Starts, or starts again, from its disk.
    ///
    /// # Errors
    /// See [`NoStart`]; [`NoStart::Empty`] where [`Keeper::found`] or [`Keeper::join`] comes first.
    pub fn open<S: Store>(store: &mut S, settings: Settings) -> Result<Self, NoStart<S::Error>> {
        let image = store.load().map_err(NoStart::Store)?.ok_or(NoStart::Empty)?;
        let (identity, log) = Log::read(&image).ok_or(NoStart::Damaged)?;
        let register = match log.register() {
            [] => Register::default(),
            bytes => get(bytes).ok_or(NoStart::Damaged)?,
        };
        let applied = log.snapshot_index();
        let config = Config {
            id: identity.id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: 2,
            applied,
            max_size_per_msg: 64 << 10,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: PENDING_MAX * ENTRY_MAX as u64,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, log, &logger).map_err(|_| NoStart::Damaged)?;
        let mut keeper = Keeper {
            identity,
            settings,
            raw,
            register,
            applied,
            watches: BTreeMap::new(),
            ticked: None,
            chance: settings.seed,
            folded: None,
            failed: false,
        };
        keeper.draw();
        Ok(keeper)
    }

    /// Its identity.
    pub fn id(&self) -> KeeperId {
        KeeperId(self.identity.id)
    }

    /// The register as far as this keeper has applied the log: it may be behind.
    pub fn register(&self) -> &Register {
        &self.register
    }

    /// Who votes, as far as this keeper has applied the log.
    pub fn voters(&self) -> &[u64] {
        &self.raw.store().conf().voters
    }

    /// Where it is.
    pub fn standing(&self) -> Standing {
        match self.raw.raft.leader_id {
            _ if self.failed => Standing::Failed,
            _ if self.raw.raft.state == StateRole::Leader => Standing::Leading,
            _ if !self.voters().contains(&self.identity.id) => Standing::Learning,
            0 => Standing::Leaderless,
            leader => Standing::Following(KeeperId(leader)),
        }
    }

    /// Hears another keeper. What does not fit is dropped, as a link may.
    pub fn hear(&mut self, message: PeerMessage, group: u64) {
        let last = self.raw.raft.raft_log.last_index();
        let read = |s: &PeerSnapshot| get::<Register>(&s.data).is_some();
        if self.failed
            || group != self.identity.group
            || !message.fits(self.identity.id, last)
            || !message.snapshot.as_ref().is_none_or(read)
        {
            return;
        }
        if let Some(message) = message.into_message() {
            // The library says why it ignores some; none of that needs an answer.
            let _ = self.raw.step(message);
            self.draw();
        }
    }

    /// Hears a process; the answer is at hand where the command does not go into the log.
    pub fn command(&mut self, command: &Command) -> Option<Answer> {
        Of::command(command)?;
        self.propose(command).err().and_then(|refusal| Answer::refused(command, refusal))
    }

    /// Puts a command into the log: an operator's, or one that has been checked to be a process's.
    ///
    /// # Errors
    /// Where it does not go there.
    pub fn propose(&mut self, command: &Command) -> Result<(), Refusal> {
        let raft = &self.raw.raft;
        if self.failed || raft.state != StateRole::Leader {
            let leader = (raft.leader_id != 0).then_some(KeeperId(raft.leader_id));
            return Err(Refusal::NotLeading { leader });
        }
        if let Some(refusal) = self.register.refuses(command) {
            return Err(refusal);
        }
        let data = put(command);
        if data.len() > ENTRY_MAX {
            return Err(Refusal::TooMuch);
        }
        if raft.raft_log.last_index() - raft.raft_log.committed >= PENDING_MAX {
            return Err(Refusal::Busy);
        }
        self.raw.propose(Vec::new(), data).map_err(|_| Refusal::Busy)
    }

    /// Tells it the time: at least every `tick_every`. A pause longer than two ticks counts as one: those that were not heard
    /// meanwhile may have spoken.
    pub fn tick(&mut self, now: Micros) {
        if self.failed {
            return;
        }
        let every = self.settings.tick_every.max(1);
        let ticked = *self.ticked.get_or_insert(now);
        let due = now.saturating_sub(ticked) / every;
        if due > 2 {
            self.ticked = Some(now);
        } else {
            self.ticked = Some(ticked + due * every);
        }
        for _ in 0..due.min(if due > 2 { 1 } else { 2 }) {
            self.raw.tick();
            self.draw();
        }
        if self.raw.raft.state == StateRole::Leader {
            self.lapse(now);
            self.let_in();
        }
    }

    /// What must be saved next; `None`: nothing is to be done until something is heard.
    pub fn turn(&mut self) -> Option<Unsaved<'_>> {
        if self.failed {
            return None;
        }
        let ready = self.raw.has_ready().then(|| self.raw.ready());
        let folded = self.folded.take();
        if ready.is_none() && folded.is_none() {
            return None;
        }
        let mut records = ready.as_ref().map(disk::records).unwrap_or_default();
        if let (Some(folded), false) = (folded, records.clear) {
            (records.snapshot, records.first) = (folded.snapshot, folded.first);
        }
        Some(Unsaved { keeper: self, ready, records })
    }

    fn saved(&mut self, now: Micros, mut ready: raft::Ready, output: &mut Output) {
        let mut messages = ready.take_messages();
        if !ready.snapshot().is_empty() {
            self.restore(now, ready.snapshot());
        }
        let log = self.raw.mut_store();
        log.append(ready.entries());
        if let Some(hard) = ready.hs() {
            log.set_hard(hard.clone());
        }
        messages.extend(ready.take_persisted_messages());
        self.apply(now, ready.take_committed_entries(), output);
        let mut light = self.raw.advance_append(ready);
        messages.extend(light.take_messages());
        self.apply(now, light.take_committed_entries(), output);
        self.raw.advance_apply();
        if self.raw.store().len() > self.settings.keep {
            self.fold();
        }
        for message in messages {
            self.send(&message, output);
        }
    }

    fn send(&mut self, message: &Message, output: &mut Output) {
        if message.get_msg_type() == MessageType::MsgSnapshot {
            // Whether it arrives is not known; the next probe finds out.
            self.raw.report_snapshot(message.to, SnapshotStatus::Finish);
        }
        if let Some(form) = PeerMessage::of(message) {
            output
                .words
                .push((KeeperId(message.to), Word::Keepers { group: self.identity.group, message: form }));
        }
    }

    fn restore(&mut self, now: Micros, snapshot: &raft::eraftpb::Snapshot) {
        // Read once already, before the library had it.
        if let Some(register) = get(&snapshot.data) {
            self.register = register;
        }
        self.applied = snapshot.get_metadata().index;
        self.raw.mut_store().restore(snapshot);
        self.folded = None;
        self.watch(now);
    }

    fn apply(&mut self, now: Micros, entries: Vec<Entry>, output: &mut Output) {
        for entry in entries {
            self.applied = entry.index;
            match entry.get_entry_type() {
                EntryType::EntryNormal => self.apply_command(now, &entry, output),
                EntryType::EntryConfChange => {
                    if let Ok(change) = ConfChange::parse_from_bytes(&entry.data) {
                        let conf = self.raw.apply_conf_change(&change);
                        self.reconfigured(conf);
                    }
                }
                EntryType::EntryConfChangeV2 => {
                    if let Ok(change) = ConfChangeV2::parse_from_bytes(&entry.data) {
                        let conf = self.raw.apply_conf_change(&change);
                        self.reconfigured(conf);
                    }
                }
            }
        }
    }

    fn apply_command(&mut self, now: Micros, entry: &Entry, output: &mut Output) {
        let Some(command) = get::<Command>(&entry.data) else { return };
        let term = Term(entry.term);
        let result = self.register.apply(term, &command);
        self.watch(now);
        if self.raw.raft.state == StateRole::Leader {
            output.answers.extend(Answer::applied(&command, &result));
        }
        output.applied.push(Applied { index: entry.index, term, command, result });
    }

    fn reconfigured(&mut self, conf: raft::Result<raft::eraftpb::ConfState>) {
        let Ok(conf) = conf else { return };
        if conf.voters_outgoing.is_empty() {
            let joining: Vec<_> = self.register.joining().collect();
            for (keeper, replaces) in joining {
                let gone = replaces.is_none_or(|old| !conf.voters.contains(&old.0));
                if conf.voters.contains(&keeper.0) && gone {
                    self.register.joined(keeper);
                }
            }
        }
        self.raw.mut_store().set_conf(conf);
        // Whoever comes in is told all by a snapshot, which must name it.
        self.fold();
    }

    fn fold(&mut self) {
        let (applied, register) = (self.applied, put(&self.register));
        if let Some(records) = self.raw.mut_store().compact(applied, register) {
            self.folded = Some(records);
        }
    }

    /// Starts the span of each lease that was granted or renewed in what was just applied.
    fn watch(&mut self, now: Micros) {
        let kept = self.register.lease().kept();
        let old = std::mem::take(&mut self.watches);
        for (duty, token, renewals) in self.register.leases() {
            let known = old.get(duty).filter(|w| w.token == token && w.renewals == renewals);
            let lapse_at = known.map_or(now + kept, |w| w.lapse_at);
            self.watches.insert(duty.clone(), Watch { token, renewals, lapse_at });
        }
    }

    fn lapse(&mut self, now: Micros) {
        // Those that came with the snapshot that it started from have no entry after it.
        self.watch(now);
        let kept = self.register.lease().kept();
        let mut over = Vec::new();
        for (duty, watch) in &mut self.watches {
            if now >= watch.lapse_at {
                // Once more if it does not reach the log.
                watch.lapse_at = now + kept / 8;
                over.push(Command::Lapse {
                    duty: duty.clone(),
                    token: watch.token,
                    renewals: watch.renewals,
                });
            }
        }
        for command in over {
            // Refused, it is tried again.
            let _ = self.propose(&command);
        }
    }

    /// Takes in those that join, one step at a time.
    fn let_in(&mut self) {
        if self.raw.raft.has_pending_conf() || !self.raw.store().conf().voters_outgoing.is_empty() {
            return;
        }
        let committed = self.raw.raft.raft_log.committed;
        let conf = self.raw.store().conf();
        let single = |kind, keeper: KeeperId| {
            let mut single = ConfChangeSingle::default();
            single.set_change_type(kind);
            single.node_id = keeper.0;
            single
        };
        let mut change = ConfChangeV2::default();
        change.set_transition(ConfChangeTransition::Auto);
        for (keeper, replaces) in self.register.joining() {
            let progress = self.raw.raft.prs().get(keeper.0);
            match progress {
                None => change.set_changes(vec![single(ConfChangeType::AddLearnerNode, keeper)].into()),
                // A learner counts as active from its start on, and a short log is within any bound of an empty one.
                Some(p) if p.recent_active && p.matched > 0 && p.matched + PROMOTE_WITHIN >= committed => {
                    let mut steps = vec![single(ConfChangeType::AddNode, keeper)];
                    steps.extend(
                        replaces
                            .filter(|old| conf.voters.contains(&old.0))
                            .map(|old| single(ConfChangeType::RemoveNode, old)),
                    );
                    change.set_changes(steps.into());
                }
                Some(_) => continue,
            }
            // Dropped or refused, it is tried at the next tick.
            let _ = self.raw.propose_conf_change(Vec::new(), change);
            return;
        }
    }

    /// The library draws its time-outs from the thread's chance; they are drawn again from the seed.
    fn draw(&mut self) {
        if self.raw.raft.election_elapsed == 0 {
            self.chance =
                self.chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        }
        let ticks = ELECTION_TICKS + usize::try_from(self.chance >> 33).unwrap_or(0) % ELECTION_TICKS;
        self.raw.raft.set_randomized_election_timeout(ticks);
    }
}

fn begin<S: Store>(
    store: &mut S,
    identity: Identity,
    snapshot: &PeerSnapshot,
) -> Result<(), NoStart<S::Error>> {
    if store.load().map_err(NoStart::Store)?.is_some() {
        return Err(NoStart::InUse);
    }
    store.save(&disk::founding(identity, snapshot)).map_err(NoStart::Store)
}
