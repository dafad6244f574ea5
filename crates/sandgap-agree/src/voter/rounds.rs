//! How questions for a lease are confirmed: many under one round, answered once a majority has said, after they came, that
//! its leader led.

use std::collections::VecDeque;

use raft::eraftpb::Message;
use sandgap_fleet::Time;

use super::{Action, Voter};
use crate::limits::ROUNDS;
use crate::words::{Grant, Word};

/// Processes of other voters whose rounds are remembered: each voter's last dozen.
const LIVES: usize = 64;

/// A question that waits for a majority's confirmation.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    pub(super) from: String,
    pub(super) origin: Option<String>,
    pub(super) number: u64,
    pub(super) draw: u64,
}

/// Questions under one confirmation.
pub(super) struct Round {
    pub(super) number: u64,
    pub(super) begun: Time,
    /// The index that the leader had, once a majority has confirmed it.
    pub(super) index: Option<u64>,
    pub(super) asked: Vec<Asked>,
}

/// Whose round a context is, by seat and life, and its number.
fn round_of(context: &[u8]) -> Option<((u64, u64), u64)> {
    let mut parts = context.chunks_exact(8).filter_map(|c| c.try_into().ok().map(u64::from_le_bytes));
    Some(((parts.next()?, parts.next()?), parts.next()?))
}

impl Voter {
    /// Whether another voter's round comes here for the first time. One that came twice would stand in the engine's
    /// queue behind rounds that began later, and old answers to it would confirm those as well.
    pub(super) fn is_new_round(&mut self, message: &Message) -> bool {
        let context = message.get_entries().first().map(|e| e.get_data());
        let Some((who, number)) = context.and_then(round_of) else { return false };
        match self.rounds_heard.iter_mut().find(|(w, _)| *w == who) {
            Some((_, last)) if number <= *last => return false,
            Some((_, last)) => *last = number,
            None => {
                if self.rounds_heard.len() == LIVES {
                    self.rounds_heard.pop_front();
                }
                self.rounds_heard.push_back((who, number));
            }
        }
        true
    }

    pub(super) fn begin_round(&mut self, now: Time) {
        if self.waiting.is_empty() || self.rounds.len() >= ROUNDS || self.node.raft.leader_id == 0 {
            return;
        }
        // One round at a time serves all that came meanwhile, unless it is lost.
        if self.rounds.back().is_some_and(|r| r.index.is_none() && now < r.begun + self.terms.tick) {
            return;
        }
        let number = self.next_round;
        self.next_round += 1;
        let asked = std::mem::take(&mut self.waiting);
        self.rounds.push_back(Round { number, begun: now, index: None, asked });
        let context = [self.seat, self.life, number].map(u64::to_le_bytes).concat();
        self.node.read_index(context);
    }

    pub(super) fn confirmed(&mut self, context: &[u8], index: u64) {
        // An answer to the process before this one says nothing of questions that came to this one.
        let Some(number) = round_of(context).filter(|(who, _)| *who == (self.seat, self.life)) else {
            return;
        };
        let number = number.1;
        let Some(at) = self.rounds.iter().position(|r| r.number == number) else { return };
        // Rounds that began earlier asked earlier: what is confirmed for this one serves them as well.
        for round in self.rounds.iter_mut().take(at + 1) {
            round.index.get_or_insert(index);
        }
    }

    /// Answers what has been confirmed, once this voter has applied as much as the leader had.
    pub(super) fn answer(&mut self, out: &mut Vec<Action>) {
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
            let Asked { from, origin, number, draw } = asked;
            let tenure = (draw != 0).then(|| self.tenure(draw));
            let told = self.riders.tell(origin.as_deref().unwrap_or(&from));
            let (standing, voters) = (standing.clone(), voters.clone());
            let grant = Grant { number, origin, standing, voters, tenure, told };
            out.push(Action::Say(from, Word::Grant(grant)));
        }
    }
}
