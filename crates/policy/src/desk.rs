//! Between carrying code and the decisions: events wait their turn, actions come out one by one. Nothing here decides.

use crate::api::{Action, Event, Micros};
use crate::rules::Gateway;
use std::collections::VecDeque;

/// A gateway's decisions with the events that it is still to be told and the actions still to be carried out. Both are
/// empty between two turns of a loop that takes actions until none follow.
pub struct Desk {
    /// The decisions.
    pub gateway: Gateway,
    events: VecDeque<Event>,
    actions: VecDeque<Action>,
    out: Vec<Action>,
}

impl Desk {
    /// A desk with nothing on it.
    pub fn new(gateway: Gateway) -> Desk {
        Desk { gateway, events: VecDeque::new(), actions: VecDeque::new(), out: Vec::new() }
    }
    /// Queues what happened.
    pub fn tell(&mut self, event: Event) {
        self.events.push_back(event);
    }
    /// The next action to carry out. The actions on one event come before the next event is told; none: all is done.
    pub fn follow(&mut self, now: Micros) -> Option<Action> {
        loop {
            if let Some(action) = self.actions.pop_front() {
                return Some(action);
            }
            let event = self.events.pop_front()?;
            self.gateway.handle(now, event, &mut self.out);
            self.actions.extend(self.out.drain(..));
        }
    }
}
