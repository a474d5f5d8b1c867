//! How a keeper comes to its configuration: with the first, from its disk, or as a new member where its disk is lost.

use super::{Keeper, Out};
use crate::store::Configuration;
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;

/// How often a keeper that has no place asks for one, in microseconds.
const ASK: u64 = 1_000_000;
/// A keeper whose place is asked for must not have been heard for so long.
const SILENT: u64 = 3_000_000;

/// How a keeper starts whose folder is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// With the others, for the first time. Only an operator can know that: an empty disk looks the same when it was lost.
    First,
    /// As a new member in its slot's place.
    Join,
}

impl Keeper {
    /// Without a configuration it asks the others which one there is, and for a place in it.
    pub(super) fn join(&mut self) {
        if self.configuration() > 0 || self.now < self.joined_at + ASK {
            return;
        }
        self.joined_at = self.now;
        self.ask_members(self.set.slot);
    }
    fn ask_members(&mut self, slot: u32) {
        let request = wire::LookRequest {
            what: wire::look_request::What::Members as i32,
            slot,
            incarnation: self.set.incarnation,
            configuration: self.configuration(),
            ..wire::LookRequest::default()
        };
        let others = (1..=self.set.keepers).filter(|s| *s != self.set.slot);
        self.out
            .extend(others.map(|s| Out::AskMembers(s, request.clone())));
    }

    /// Somebody is in a later configuration: this keeper missed the end of its own.
    pub(super) fn behind(&mut self, between: &wire::Between) {
        // Known to the others under this number: its disk is whole, it may go on in the later one, from what that began with.
        if self.configuration() > 0
            && self.now >= self.joined_at + ASK / 4
            && between.to == self.own()
        {
            self.joined_at = self.now;
            self.ask_members(0);
        }
    }

    /// A keeper asks for the place of a slot whose keeper lost its disk.
    pub(super) fn asked_for_a_place(&mut self, slot: u32, incarnation: u64) {
        let configuration = self.shelf.0.borrow().kept().configuration.clone();
        let members = &configuration.members;
        let Some(place) = members.iter().position(|m| m.1 == slot) else {
            return;
        };
        let (pid, _, known) = members[place];
        let lately = self
            .heard
            .get(&pid)
            .is_some_and(|at| self.now < at + SILENT);
        if known == incarnation || lately || pid == configuration.own {
            return;
        }
        let number = configuration.number + 1;
        let mut members = members.clone();
        // Never used before: grows with the configurations.
        members[place] = (u64::from(number) * 16 + u64::from(slot), slot, incarnation);
        let next = Configuration {
            number,
            own: 0,
            members,
            base: Vec::new(),
        };
        tracing::warn!(slot, "a keeper without its disk comes back as a new member");
        self.ask_for(&next);
    }

    /// Another keeper told which configuration it is in.
    pub fn members(&mut self, answer: &wire::LookAnswer) {
        if answer.configuration <= self.configuration() {
            return;
        }
        let (slot, incarnation, own) = (self.set.slot, self.set.incarnation, self.own());
        let fits = |m: &&wire::Member| {
            m.slot == slot
                && if self.configuration() == 0 {
                    m.incarnation == incarnation
                } else {
                    m.pid == own
                }
        };
        let Some(member) = answer.members.iter().find(fits) else {
            return;
        };
        let members = answer
            .members
            .iter()
            .map(|m| (m.pid, m.slot, m.incarnation))
            .collect();
        // A later one than the first begins with what those before left.
        if answer.configuration > 1 && answer.base.is_empty() {
            return;
        }
        let (number, own, base) = (answer.configuration, member.pid, answer.base.clone());
        self.enter_or_say(Configuration {
            number,
            own,
            members,
            base,
        });
    }

    /// The configuration ended here: the next one begins with what this one left.
    pub(super) fn next_configuration(&mut self, next: Configuration) {
        let (slot, own) = (self.set.slot, self.own());
        let place = next.members.iter().find(|m| m.1 == slot).copied();
        match place {
            Some((pid, _, _)) if pid == own => {
                let base = self.state.to_bytes();
                self.enter_or_say(Configuration { own, base, ..next });
            }
            _ => {
                // Another has its place now: this one lost its disk once, and is back with it.
                tracing::error!(
                    slot,
                    "this keeper's place was given to a new member: empty its folder to come back"
                );
                (self.agreement, self.outdated) = (None, true);
            }
        }
    }

    pub(super) fn enter_or_say(&mut self, configuration: Configuration) {
        let number = configuration.number;
        // Commands under way go into the new log.
        match self.enter(configuration) {
            Ok(()) => tracing::info!(number, "a new configuration begins"),
            Err(e) => tracing::error!(number, "{e}"),
        }
    }
}
