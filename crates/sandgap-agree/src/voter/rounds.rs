//! Confirmation of lease requests by read-index rounds. One round covers many requests; they are granted once a
//! majority has confirmed, after they arrived, that its leader still leads.

use std::collections::VecDeque;

use raft::eraftpb::Message as RaftMessage;
use sandgap_fleet::Time;

use super::{Action, Voter};
use crate::limits::MAX_ROUNDS;
use crate::messages::{Grant, Message};

/// Processes of other voters whose latest round is remembered: about a dozen per voter.
const MAX_TRACKED_PROCESSES: usize = 64;

/// A lease request that waits for confirmation by a majority.
#[derive(Clone, Debug)]
pub(super) struct WaitingAsk {
    pub(super) from: String,
    pub(super) origin: Option<String>,
    pub(super) number: u64,
    pub(super) process_token: u64,
}

/// Lease requests under one confirmation.
pub(super) struct Round {
    pub(super) number: u64,
    pub(super) begun: Time,
    /// The leader's commit index, once a majority has confirmed the round.
    pub(super) index: Option<u64>,
    pub(super) asked: Vec<WaitingAsk>,
}

/// Decodes a round's context: seat and process id, and the number of the round.
fn decode_context(context: &[u8]) -> Option<((u64, u64), u64)> {
    let mut parts = context.chunks_exact(8).filter_map(|c| c.try_into().ok().map(u64::from_le_bytes));
    Some(((parts.next()?, parts.next()?), parts.next()?))
}

impl Voter {
    /// Whether a round of another voter arrives here for the first time. A duplicate would be queued in the engine
    /// behind later rounds, and late acknowledgements of it would confirm those as well.
    pub(super) fn is_new_round(&mut self, message: &RaftMessage) -> bool {
        let context = message.get_entries().first().map(|e| e.get_data());
        let Some((who, number)) = context.and_then(decode_context) else { return false };
        match self.latest_rounds.iter_mut().find(|(w, _)| *w == who) {
            Some((_, last)) if number <= *last => return false,
            Some((_, last)) => *last = number,
            None => {
                if self.latest_rounds.len() == MAX_TRACKED_PROCESSES {
                    self.latest_rounds.pop_front();
                }
                self.latest_rounds.push_back((who, number));
            }
        }
        true
    }

    pub(super) fn begin_round(&mut self, now: Time) {
        if self.waiting.is_empty() || self.rounds.len() >= MAX_ROUNDS || self.node.raft.leader_id == 0 {
            return;
        }
        // Requests that arrive meanwhile share the next round; a round without confirmation for a tick counts as lost.
        if self.rounds.back().is_some_and(|r| r.index.is_none() && now < r.begun + self.timing.tick) {
            return;
        }
        let number = self.next_round;
        self.next_round += 1;
        let asked = std::mem::take(&mut self.waiting);
        self.rounds.push_back(Round { number, begun: now, index: None, asked });
        let context = [self.seat, self.process_id, number].map(u64::to_le_bytes).concat();
        self.node.read_index(context);
    }

    pub(super) fn confirm_rounds(&mut self, context: &[u8], index: u64) {
        // A confirmation meant for this seat's previous process does not cover requests to this one.
        let Some(number) = decode_context(context).filter(|(who, _)| *who == (self.seat, self.process_id))
        else {
            return;
        };
        let number = number.1;
        let Some(at) = self.rounds.iter().position(|r| r.number == number) else { return };
        // Requests of earlier rounds arrived earlier, so this confirmation covers them as well.
        for round in self.rounds.iter_mut().take(at + 1) {
            round.index.get_or_insert(index);
        }
    }

    /// Grants the leases of confirmed rounds whose index this voter has applied.
    pub(super) fn answer_confirmed(&mut self, out: &mut Vec<Action>) {
        let applied = self.applied;
        let is_due = |r: &Round| r.index.is_some_and(|index| index <= applied);
        if !self.rounds.iter().any(is_due) {
            return;
        }
        let (standing, voters) = (self.standing(), self.voters());
        let (due, rest): (VecDeque<Round>, VecDeque<Round>) =
            std::mem::take(&mut self.rounds).into_iter().partition(is_due);
        self.rounds = rest;
        for asked in due.into_iter().flat_map(|r| r.asked) {
            let WaitingAsk { from, origin, number, process_token } = asked;
            let enrolment = (process_token != 0).then(|| self.enrolment_state(process_token));
            let rider_messages = self.riders.message_for(origin.as_deref().unwrap_or(&from));
            let (standing, voters) = (standing.clone(), voters.clone());
            let grant = Grant { number, origin, standing, voters, enrolment, rider_messages };
            out.push(Action::Send(from, Message::Grant(grant)));
        }
    }
}
