//! A voter: a replica of the log, on the `raft` crate, which does no I/O. `lead` holds the leader's decisions about
//! versions, lives and riders, `rounds` the confirmation of lease requests, `seats` changes of the set of voters.
//!
//! Leases are granted after a read-index round (Ongaro's thesis, section 6.4): after the request arrived, a majority
//! confirms that its leader still leads. This depends on no voter's clock. Pre-vote and check-quorum are on, so that a
//! voter that rejoins does not disrupt the leader and a partitioned leader steps down. No message that depends on a
//! write is sent before the disk has it.

mod lead;
mod rounds;
mod seats;

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use raft::eraftpb::{ConfChangeV2, EntryType, Message as RaftMessage, MessageType, Snapshot};
use raft::{Config, RawNode, StateRole};
use sandgap_fleet::Time;

use crate::limits::{
    MAX_MEMBERS, MAX_PENDING_WRITES, MAX_PUBLISHERS, MAX_RIDER_ENTRY_BYTES, MAX_WAITING_ASKS,
    SNAPSHOT_INTERVAL_ENTRIES,
};
use crate::lives::{LifeEntry, LifeMonitor, ProcessId};
use crate::log::{
    Damaged, Image, Log, Saved, Write, decode_proto, decode_snapshot, encode_proto, encode_snapshot,
};
use crate::machine::{Entry, Proposal, RulesMachine, Verdict};
use crate::messages::{EnrolmentState, MemberStatus, Message, Report, RulesState, Status, VersionSummary};
use crate::rider::{LeaderView, MemberReport, Riders, Tag};
use crate::rulebook::{Rulebook, Version};
use crate::timing::Timing;
use rounds::{Round, WaitingAsk};

pub use seats::new_seat_number;

/// Election timeout in ticks; the actual timeout is random between this and twice this.
const ELECTION_TICKS: usize = 10;
/// Interval of a leader's heartbeats in ticks.
const HEARTBEAT_TICKS: usize = 2;
/// Ticks after which a leader proposes an entry again, if it has not taken effect.
const REPROPOSE_TICKS: u64 = 10;
/// Bytes of entries in one message between voters; a single larger entry is still sent.
const MAX_MESSAGE_BYTES: u64 = 256 << 10;

/// Who blocks a switch, and why.
type BlockReason = (String, String);
/// A log index, the pending version there, and why its switch is blocked, if it is.
type BlockCheck = ((u64, Version), Option<BlockReason>);

/// What the caller of a voter has to do.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Send a message to a proxy.
    Send(String, Message),
    /// Write this to the disk, then acknowledge its number.
    Write(Write),
    /// The version in force or the pending one has changed: notify the clients of this voter.
    RulesState,
    /// Log a message.
    Log(String),
}

/// A replica of the log, see the module.
pub struct Voter {
    seat: u64,
    name: String,
    timing: Timing,
    node: RawNode<Log>,
    machine: RulesMachine,
    applied: u64,
    applied_term: u64,
    /// Seed of the election timeouts.
    seed: u64,
    ticks: u64,
    next_tick: Time,
    /// Proxy names by seat, learned from received messages.
    routes: BTreeMap<u64, String>,
    waiting: Vec<WaitingAsk>,
    rounds: VecDeque<Round>,
    next_round: u64,
    /// Random number that distinguishes this process's rounds from those of its predecessor under the same seat.
    process_id: u64,
    /// On a leader: the latest round of each process of another voter, by seat and process id.
    latest_rounds: VecDeque<((u64, u64), u64)>,
    /// When each proxy last asked here for a lease: these get news.
    clients: BTreeMap<String, Time>,
    /// Reports to pass on to the leader.
    reports: BTreeMap<String, Report>,
    /// On a leader: the last report of each proxy.
    members: BTreeMap<String, MemberReport>,
    leading_since: Option<Time>,
    monitor: LifeMonitor,
    /// The tick at which something about a life was last proposed.
    life_proposed: BTreeMap<ProcessId, u64>,
    /// Voters to which a snapshot is being sent, and the tick at which that was first seen.
    snapshots: BTreeMap<u64, u64>,
    /// When the pending version was first seen as pending.
    pending_since: Option<(Version, Time)>,
    /// When the version in force was first seen as closed ahead of this pending version.
    closed_since: Option<(Version, Time)>,
    /// The tick at which an entry about a version was last proposed; 0 if none is outstanding.
    proposed_tick: u64,
    publishers: VecDeque<(u64, String)>,
    /// Other state machines that share the log.
    riders: Riders,
    /// Cached result of the riders' check of the pending version.
    pending_block: RefCell<Option<BlockCheck>>,
    /// Proposals made for riders, and the tick at which each was last made.
    rider_proposed: BTreeMap<(Tag, Vec<u8>), u64>,
    /// Rider entries proposed for proxies: request number, tag, entry and proxy.
    rider_submitters: VecDeque<(u64, Tag, Vec<u8>, String)>,
    /// Numbers of writes that the disk has not acknowledged, and when they were handed over.
    unacked_writes: VecDeque<(u64, Time)>,
    /// Messages that may be sent once the write of this number is acknowledged.
    held_messages: VecDeque<(u64, Vec<RaftMessage>)>,
    acked_write: u64,
    /// A snapshot that the disk does not have yet: the number of its write, and its index.
    installing: Option<(u64, u64)>,
    /// Set when the disk has failed or the log can't be read: this voter takes no part until it is restarted.
    halted: bool,
}

fn discard_logger() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

fn split_mix64(mut x: u64) -> u64 {
    // SplitMix64 (Steele, Lea and Flood, OOPSLA 2014): pseudorandom numbers that the seed alone determines.
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Voter {
    /// Resumes a voter from its store. `seed` is random, new at each start.
    ///
    /// # Errors
    /// If the store is damaged: then this voter must not take part under its old seat.
    pub fn new(
        now: Time, name: &str, timing: Timing, saved: &Saved, mut riders: Riders, seed: u64,
    ) -> Result<Self, Damaged> {
        let (log, Image { machine, parts }) = Log::load(saved)?;
        riders.restore(&parts)?;
        let applied = saved.snapshot.as_ref().map_or(0, |(index, _)| *index);
        let config = Config {
            id: saved.seat,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: 8 << 20,
            ..Config::default()
        };
        let node = RawNode::new(&config, log, &discard_logger())
            .map_err(|_| Damaged::Corrupt("the raft state is inconsistent"))?;
        let mut voter = Voter {
            seat: saved.seat,
            name: name.to_owned(),
            timing,
            node,
            machine,
            applied,
            applied_term: 0,
            seed,
            ticks: 0,
            next_tick: now + timing.tick,
            routes: BTreeMap::new(),
            waiting: Vec::new(),
            rounds: VecDeque::new(),
            next_round: 1,
            process_id: split_mix64(seed),
            latest_rounds: VecDeque::new(),
            clients: BTreeMap::new(),
            reports: BTreeMap::new(),
            members: BTreeMap::new(),
            leading_since: None,
            monitor: LifeMonitor::default(),
            life_proposed: BTreeMap::new(),
            snapshots: BTreeMap::new(),
            pending_since: None,
            closed_since: None,
            proposed_tick: 0,
            publishers: VecDeque::new(),
            riders,
            pending_block: RefCell::default(),
            rider_proposed: BTreeMap::new(),
            rider_submitters: VecDeque::new(),
            unacked_writes: VecDeque::new(),
            held_messages: VecDeque::new(),
            acked_write: 0,
            installing: None,
            halted: false,
        };
        voter.randomize_election_timeout();
        Ok(voter)
    }

    /// The number of this voter's seat.
    pub fn seat(&self) -> u64 {
        self.seat
    }

    /// The state that the log has built so far.
    pub fn machine(&self) -> &RulesMachine {
        &self.machine
    }

    /// Whether this voter is the leader, as far as it knows.
    pub fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader && !self.halted
    }

    /// Whether this seat belongs to the set of voters, as far as is known here.
    pub fn is_seated(&self) -> bool {
        self.machine.seats.contains_key(&self.seat)
    }

    /// When [`Voter::fire`] is to be called next.
    pub fn next_due(&self) -> Time {
        self.next_tick
    }

    /// Stops this voter after its disk has failed: it sends nothing from here on.
    pub fn halt(&mut self) {
        self.halted = true;
    }

    /// Transfers leadership to another voter before a planned shutdown.
    pub fn hand_over_lead(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.leads() {
            self.transfer_leadership();
        }
        self.drive(now, out);
    }

    /// The version in force and the pending one, as applied here. It may only be granted after a confirmed round.
    pub fn standing(&self) -> RulesState {
        let named = |v: Version| self.machine.version(v).map(|r| (v, r.digest));
        let version = self.machine.standing();
        RulesState {
            index: self.applied,
            version,
            digest: named(version).map_or_else(Default::default, |(_, digest)| digest),
            closed: self.machine.is_closed(),
            pending: self.machine.pending().and_then(named),
        }
    }

    /// The voters' names and addresses.
    pub fn voters(&self) -> Vec<(String, std::net::SocketAddr)> {
        self.machine.seats.values().map(|s| (s.name.clone(), s.address)).collect()
    }

    fn leader(&self) -> Option<String> {
        self.name_of(self.node.raft.leader_id)
    }

    fn name_of(&self, seat: u64) -> Option<String> {
        let seated = self.machine.seats.get(&seat).map(|s| s.name.clone());
        seated.or_else(|| self.routes.get(&seat).cloned())
    }

    /// Derives the election timeout from the seed instead of the engine's own random numbers.
    fn randomize_election_timeout(&mut self) {
        let round = self.ticks / (2 * ELECTION_TICKS as u64);
        let drawn = split_mix64(self.seed ^ split_mix64(self.node.raft.term ^ split_mix64(round)))
            % ELECTION_TICKS as u64;
        self.node.raft.set_randomized_election_timeout(ELECTION_TICKS + drawn as usize);
    }

    /// Whether the disk is too far behind to be given more writes.
    fn disk_is_stalled(&self, now: Time) -> bool {
        let limit = self.timing.tick * ELECTION_TICKS as u32;
        self.unacked_writes.len() > MAX_PENDING_WRITES
            || self.unacked_writes.front().is_some_and(|(_, at)| *at + limit < now)
    }

    fn transfer_leadership(&mut self) {
        let me = self.seat;
        let best = self.node.raft.prs().iter().filter(|(id, _)| **id != me).max_by_key(|(_, p)| p.matched);
        if let Some(to) = best.map(|(id, _)| *id) {
            self.node.transfer_leader(to);
        }
    }

    /// Does all timed work that is due.
    pub fn fire(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.halted || now < self.next_tick {
            return;
        }
        // After a standstill the process continues with the next tick; missed ticks are not made up for.
        self.next_tick = now + self.timing.tick;
        self.ticks += 1;
        if self.disk_is_stalled(now) {
            // A voter with a stalled disk neither campaigns nor stays the leader.
            if self.leads() {
                self.transfer_leadership();
            }
        } else if self.installing.is_none() {
            // While a snapshot is being installed, the engine has no entries around it and must not campaign.
            self.node.tick();
        }
        self.fail_lost_snapshots();
        self.expire_state(now);
        self.decide_pending(now);
        self.propose_for_riders(now);
        self.send_reports(out);
        self.drive(now, out);
    }

    fn expire_state(&mut self, now: Time) {
        let old = |at: Time, lease_bound: Duration| at + lease_bound < now;
        let live = self.timing.lease_horizon();
        self.clients.retain(|_, at| !old(*at, live));
        self.members.retain(|_, known| !old(known.at, live * 20));
        self.monitor.expire(now, self.machine.lives(), live);
        let ticks = self.ticks;
        self.life_proposed.retain(|_, at| ticks < *at + REPROPOSE_TICKS);
        self.rider_proposed.retain(|_, at| ticks < *at + REPROPOSE_TICKS);
        let bound = self.timing.lease_bound.bound;
        self.rounds.retain(|round| !old(round.begun, bound));
    }

    /// Passes reports on to the leader.
    fn send_reports(&mut self, out: &mut Vec<Action>) {
        let Some(leader) = self.leader().filter(|l| *l != self.name) else { return };
        if !self.reports.is_empty() {
            let all = std::mem::take(&mut self.reports).into_iter().collect();
            out.push(Action::Send(leader, Message::Reports(all)));
        }
    }

    /// Processes a raft message of another voter.
    pub fn receive(&mut self, now: Time, from: &str, seat: u64, bytes: &[u8], out: &mut Vec<Action>) {
        let Some(message) = decode_proto::<RaftMessage>(bytes).filter(|_| seat == self.seat && !self.halted)
        else {
            return;
        };
        if !self.routes.contains_key(&message.from) && self.routes.len() < MAX_MEMBERS {
            self.routes.insert(message.from, from.to_owned());
        }
        // While the disk is stalled, messages that may cause writes are dropped; their sender retries.
        let kind = message.get_msg_type();
        let may_lead = kind != MessageType::MsgTimeoutNow || self.installing.is_none();
        if kind == MessageType::MsgReadIndex && !self.is_new_round(&message) {
            return;
        }
        if may_lead && (!self.disk_is_stalled(now) || kind == MessageType::MsgHeartbeat) {
            let _ = self.node.step(message); // an invalid message is dropped like a lost one
        }
        self.drive(now, out);
    }

    /// Processes a lease request.
    pub fn ask(
        &mut self, now: Time, from: &str, origin: Option<String>, number: u64, report: Report,
        out: &mut Vec<Action>,
    ) {
        if self.halted {
            return;
        }
        let who = origin.clone().unwrap_or_else(|| from.to_owned());
        if origin.is_none() && (self.clients.len() < MAX_MEMBERS || self.clients.contains_key(&who)) {
            self.clients.insert(who.clone(), now);
        }
        let process_token = report.process_token;
        if self.leads() {
            self.record_report(now, who, report);
        } else if self.reports.len() < MAX_MEMBERS {
            self.reports.insert(who, report);
            self.send_reports(out);
        }
        if self.waiting.len() < MAX_WAITING_ASKS {
            self.waiting.push(WaitingAsk { from: from.to_owned(), origin, number, process_token });
        }
        self.drive(now, out);
    }

    /// Processes reports passed on by another voter.
    pub fn reports(&mut self, now: Time, all: Vec<(String, Report)>, out: &mut Vec<Action>) {
        if self.leads() {
            all.into_iter().for_each(|(who, report)| self.record_report(now, who, report));
            self.drive(now, out);
        }
    }

    /// Proposes a rulebook; its publisher gets the verdict.
    pub fn publish(&mut self, now: Time, from: &str, proposal: Proposal, out: &mut Vec<Action>) {
        let id = proposal.id;
        match self.propose(&Entry::Propose(proposal)) {
            true => {
                if self.publishers.len() == MAX_PUBLISHERS {
                    self.publishers.pop_front();
                }
                self.publishers.push_back((id, from.to_owned()));
            }
            false => {
                let why = "no leader is known here: the voters have no majority, or are electing a leader; try again";
                out.push(Action::Send(from.to_owned(), Message::Unpublished(id, why.into())));
            }
        }
        self.drive(now, out);
    }

    /// Proposes a rider's entry for a proxy, which gets the result.
    pub fn propose_rider_entry(
        &mut self, now: Time, from: &str, number: u64, tag: Tag, entry: Vec<u8>, out: &mut Vec<Action>,
    ) {
        let admitted = match entry.len() <= MAX_RIDER_ENTRY_BYTES {
            true => self.riders.check_submission(tag, &entry),
            false => Err(format!(
                "the request has {} bytes, more than the limit of {MAX_RIDER_ENTRY_BYTES}: ask for less at once",
                entry.len()
            )),
        };
        let put = admitted.and_then(|()| match self.propose(&Entry::Rider(tag, entry.clone())) {
            true => Ok(()),
            false => Err(
                "no leader is known here: the voters have no majority, or are electing a leader; try again"
                    .into(),
            ),
        });
        match put {
            Ok(()) => {
                if self.rider_submitters.len() == MAX_PUBLISHERS {
                    self.rider_submitters.pop_front();
                }
                self.rider_submitters.push_back((number, tag, entry, from.to_owned()));
            }
            Err(why) => out.push(Action::Send(from.to_owned(), Message::RiderRefused(number, why))),
        }
        self.drive(now, out);
    }

    /// Answers an operator's question to a rider, as far as this voter knows.
    pub fn query_rider(
        &self, now: Time, from: &str, number: u64, tag: Tag, question: &[u8], out: &mut Vec<Action>,
    ) {
        let answer = self.riders.answer(tag, question, &self.view(now));
        let message = match answer {
            Some(answer) => Message::RiderAnswer(number, self.leads(), answer),
            None => {
                Message::RiderRefused(number, format!("this build of sandgap does not know machine {tag}"))
            }
        };
        out.push(Action::Send(from.to_owned(), message));
    }

    fn view(&self, now: Time) -> LeaderView<'_> {
        let led = self.leading_since.unwrap_or(now);
        LeaderView { now, led, timing: &self.timing, machine: &self.machine, members: &self.members }
    }

    fn propose(&mut self, entry: &Entry) -> bool {
        let data = postcard::to_stdvec(entry).unwrap_or_default();
        !self.halted && self.node.propose(Vec::new(), data).is_ok()
    }

    /// Proposes an entry of a process about its own life.
    pub fn propose_life_entry(&mut self, now: Time, entry: LifeEntry, out: &mut Vec<Action>) {
        // Other entries are proposed by the leader alone.
        let own =
            matches!(entry, LifeEntry::Enrol(_) | LifeEntry::Fence { told: true, .. } | LifeEntry::Settle(_));
        if own && self.propose(&Entry::Life(entry)) {
            self.drive(now, out);
        }
    }

    /// Records, or passes on to the leader, that a proxy refuses connections.
    pub fn report_unreachable(&mut self, now: Time, name: String, out: &mut Vec<Action>) {
        if self.leads() {
            self.monitor.record_unreachable(now, &name);
            self.drive(now, out);
        } else if let Some(leader) = self.leader().filter(|l| *l != self.name) {
            out.push(Action::Send(leader, Message::Unreachable(name)));
        }
    }

    fn enrolment_state(&self, process_token: u64) -> EnrolmentState {
        let lives = self.machine.lives();
        let life = lives.life_of(process_token);
        let successions = life.map(|life| lives.successions_of(life)).unwrap_or_default();
        EnrolmentState { life, successions, list_number: lives.list_number() }
    }

    /// Acknowledges all writes up to a number.
    pub fn written(&mut self, now: Time, number: u64, out: &mut Vec<Action>) {
        if self.halted {
            return;
        }
        self.unacked_writes.retain(|(n, _)| *n > number);
        self.acked_write = self.acked_write.max(number);
        self.node.on_persist_ready(number);
        if let Some((_, index)) = self.installing.take_if(|(n, _)| *n <= number) {
            self.node.advance_apply_to(index);
            if self.applied > index {
                self.node.advance_apply_to(self.applied);
            }
        }
        while let Some((_, messages)) = self.held_messages.pop_front_if(|(n, _)| *n <= number) {
            self.send_all(messages, out);
        }
        self.drive(now, out);
    }

    fn send_all(&self, messages: Vec<RaftMessage>, out: &mut Vec<Action>) {
        for message in messages {
            if let Some(name) = self.name_of(message.to) {
                out.push(Action::Send(name, Message::Raft(message.to, encode_proto(&message))));
            }
        }
    }

    /// Drives the engine until it has nothing more to send, write or apply, and starts and answers confirmation rounds.
    fn drive(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.halted {
            return;
        }
        self.randomize_election_timeout();
        self.decide_if_leading(now);
        self.begin_round(now);
        while self.node.has_ready() {
            self.handle_ready(now, out);
        }
        self.randomize_election_timeout();
        self.answer_confirmed(out);
    }

    fn handle_ready(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut ready = self.node.ready();
        let number = ready.number();
        self.send_all(ready.take_messages(), out);
        let mut write = Write { number, ..Write::default() };
        if ready.snapshot().get_metadata().index > 0 {
            self.install(ready.snapshot().clone(), &mut write, out);
        }
        let entries = ready.take_entries();
        write.entries = entries.iter().map(|e| (e.index, encode_proto(e))).collect();
        self.node.mut_store().append(&entries);
        if let Some(hard_state) = ready.hs().cloned() {
            // A change of the commit index alone need not be persisted: it is learned again after a restart.
            write.hard_state = ready.must_sync().then(|| encode_proto(&hard_state));
            self.node.mut_store().set_hard_state(hard_state);
        }
        for read in ready.take_read_states() {
            self.confirm_rounds(&read.request_ctx, read.index);
        }
        let committed = ready.take_committed_entries();
        let persisted = ready.take_persisted_messages();
        let syncs = write.hard_state.is_some() || !write.entries.is_empty() || write.snapshot.is_some();
        self.node.advance_append_async(ready);
        if syncs {
            self.unacked_writes.push_back((number, now));
            if !persisted.is_empty() {
                self.held_messages.push_back((number, persisted));
            }
            out.push(Action::Write(write));
        } else if self.unacked_writes.is_empty() {
            self.send_all(persisted, out);
            self.node.on_persist_ready(number);
        } else if !persisted.is_empty() {
            // Keep the order: these messages follow the last write that is still outstanding.
            let last = self.unacked_writes.back().map_or(number, |(n, _)| *n);
            self.held_messages.push_back((last, persisted));
        }
        self.apply(now, committed, out);
    }

    /// Replaces the whole state by a snapshot from the leader.
    fn install(&mut self, snapshot: Snapshot, write: &mut Write, out: &mut Vec<Action>) {
        let meta = snapshot.get_metadata();
        let (index, term) = (meta.index, meta.term);
        let image = decode_snapshot(&snapshot).and_then(|i| Ok(self.riders.restore(&i.parts).map(|()| i)?));
        match image {
            Ok(image) => self.machine = image.machine,
            Err(e) => return self.halt_with_error(&e.to_string(), out),
        }
        (self.applied, self.applied_term) = (index, term);
        write.snapshot = Some((index, encode_proto(&snapshot)));
        write.cut = Some(index);
        self.installing = Some((write.number, index));
        self.node.mut_store().install(snapshot);
        out.push(Action::RulesState);
    }

    fn apply(&mut self, now: Time, committed: Vec<raft::eraftpb::Entry>, out: &mut Vec<Action>) {
        if committed.is_empty() {
            return;
        }
        let before = self.standing();
        let mut seats = false;
        for entry in committed {
            (self.applied, self.applied_term) = (entry.index, entry.term);
            match entry.get_entry_type() {
                EntryType::EntryNormal => self.apply_entry(&entry, out),
                EntryType::EntryConfChange => {} // never proposed: changes use EntryConfChangeV2
                EntryType::EntryConfChangeV2 => {
                    let change: ConfChangeV2 = decode_proto(entry.get_data()).unwrap_or_default();
                    let context = change.get_context().to_vec();
                    self.apply_seats(&context, &change);
                    seats = true;
                }
            }
        }
        if self.installing.is_none() {
            self.node.advance_apply_to(self.applied);
        }
        self.record_first_seen(now);
        self.monitor.record_ended(now, self.machine.lives());
        let after = self.standing();
        if (after.version, after.closed, &after.pending) != (before.version, before.closed, &before.pending) {
            self.proposed_tick = 0;
            out.push(Action::RulesState);
        }
        // A new voter starts from a snapshot, which has to contain its seat.
        if seats || self.node.store().applied_since_snapshot(self.applied) > SNAPSHOT_INTERVAL_ENTRIES {
            self.compact(now, out);
        }
    }

    fn apply_entry(&mut self, entry: &raft::eraftpb::Entry, out: &mut Vec<Action>) {
        if entry.get_data().is_empty() {
            return; // the empty entry with which a leader begins its term
        }
        let Ok(entry) = postcard::from_bytes::<Entry>(entry.get_data()) else {
            return self.halt_with_error(
                "a log entry was written by a later build of sandgap: start that build",
                out,
            );
        };
        match &entry {
            // Lets the succession for this life be proposed without waiting for REPROPOSE_TICKS.
            Entry::Life(LifeEntry::Fence { life, .. }) => drop(self.life_proposed.remove(life)),
            Entry::Life(LifeEntry::Succession { life, successor, .. }) => {
                self.notify_successor(*life, *successor, out)
            }
            Entry::Rider(tag, entry) => return self.apply_rider(*tag, entry, out),
            _ => {}
        }
        let entry = self.replace_blocked_switch(entry);
        let Some((id, verdict)) = self.machine.apply(entry) else { return };
        if let Some(at) = self.publishers.iter().position(|(n, _)| *n == id)
            && let Some((_, who)) = self.publishers.remove(at)
        {
            out.push(Action::Send(who, Message::Published(id, verdict.clone())));
        }
        if let Verdict::Pending(version) = verdict {
            out.push(Action::Log(format!("rules: version {version} is put forward")));
        }
    }

    /// Replaces a switch that a rider blocks at this place in the log by an abandon entry with the reason.
    fn replace_blocked_switch(&self, entry: Entry) -> Entry {
        let Entry::Switch(version) = entry else { return entry };
        match self.block_reason(version) {
            Some(why) => Entry::Abandon(version, vec![why]),
            None => entry,
        }
    }

    /// Why a switch to the pending version is blocked, if it is. A leader checks this with every report. The result
    /// depends only on the applied log, so it is cached to decode the two rulebooks once per log index.
    fn pending_block_reason(&self, version: Version) -> Option<BlockReason> {
        let at = (self.applied, version);
        if let Some((known, why)) = &*self.pending_block.borrow()
            && *known == at
        {
            return why.clone();
        }
        let why = self.block_reason(version);
        self.pending_block.replace(Some((at, why.clone())));
        why
    }

    fn block_reason(&self, version: Version) -> Option<BlockReason> {
        let book = |v| self.machine.version(v).and_then(|r| Rulebook::decode(r.book()).ok());
        let (old, new) = (book(self.machine.standing())?, book(version)?);
        let (tag, why) = self.riders.objection(&old, &new)?;
        Some((format!("the fleet's log (machine {tag})"), why))
    }

    fn apply_rider(&mut self, tag: Tag, entry: &[u8], out: &mut Vec<Action>) {
        let result = match self.riders.apply(tag, entry) {
            Ok(result) => result,
            Err(e) => return self.halt_with_error(&e.to_string(), out),
        };
        self.rider_proposed.remove(&(tag, entry.to_vec()));
        let of = |(_, t, e, _): &(u64, Tag, Vec<u8>, String)| *t == tag && e == entry;
        while let Some(at) = self.rider_submitters.iter().position(of) {
            if let Some((number, _, _, who)) = self.rider_submitters.remove(at) {
                out.push(Action::Send(who, Message::RiderEntryApplied(number, result.clone())));
            }
        }
    }

    /// Halts because a committed entry or snapshot can't be read here: this voter's state would diverge from the
    /// others'.
    fn halt_with_error(&mut self, why: &str, out: &mut Vec<Action>) {
        self.halted = true;
        out.push(Action::Log(format!("{why}; until then this voter takes no part")));
    }

    fn compact(&mut self, now: Time, out: &mut Vec<Action>) {
        let conf = self.node.store().conf().clone();
        let image = Image { machine: self.machine.clone(), parts: self.riders.snapshot() };
        let snapshot = encode_snapshot(&image, self.applied, self.applied_term, conf);
        let bytes = encode_proto(&snapshot);
        let cut = self.node.mut_store().compact(snapshot);
        // The snapshot reuses the latest write number, as only the engine assigns numbers; writes keep their order.
        let number = self.unacked_writes.back().map_or(self.acked_write, |(n, _)| *n);
        self.unacked_writes.push_back((number, now));
        out.push(Action::Write(Write {
            number,
            snapshot: Some((self.applied, bytes)),
            cut: Some(cut),
            ..Write::default()
        }));
    }

    /// The proxies that get news from this voter.
    pub fn clients(&self) -> impl Iterator<Item = &String> {
        self.clients.keys()
    }

    /// Whether this voter leads and every proxy that may hold a lease has asked it since.
    fn knows_all_members(&self, now: Time) -> bool {
        let led = self.leading_since.filter(|_| self.leads());
        led.is_some_and(|led| now >= led + self.timing.lease_horizon())
    }

    /// The status of the fleet, as known here.
    pub fn status(&self, now: Time) -> Status {
        let ago = |at: Time| u64::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u64::MAX);
        let members = if self.knows_all_members(now) { self.members.iter().collect() } else { Vec::new() };
        let seen = |(name, known): (&String, &MemberReport)| MemberStatus {
            name: name.clone(),
            ago_ms: ago(known.at),
            report: Report { rider_messages: Vec::new(), ..known.report.clone() },
        };
        let line = |(version, r): (Version, &crate::machine::Record)| VersionSummary {
            version,
            digest: r.digest,
            state: r.state.clone(),
            contradicts: r.contradicts,
            by: r.by.clone(),
            why: r.why.clone(),
        };
        Status {
            voter: self.name.clone(),
            leader: self.leader(),
            standing: self.standing(),
            voters: self.voters(),
            members: members.into_iter().map(seen).collect(),
            history: self.machine.versions().map(line).collect(),
        }
    }
}
