//! Queue between carrying code and the decision module: events are handled one by one, and the
//! actions that follow are handed out one by one. Nothing is decided here.

use crate::api::{Action, Event, Timestamp};
use crate::engine::DecisionEngine;
use std::collections::VecDeque;

/// A gateway's decision module with the events that it has not handled yet and the actions that
/// have not been carried out. Both queues are empty between two turns of a loop that takes actions
/// until none is left.
pub struct DecisionQueue {
    /// The decision module.
    pub engine: DecisionEngine,
    events: VecDeque<Event>,
    actions: VecDeque<Action>,
    /// Buffer for the actions on one event.
    action_buffer: Vec<Action>,
}

impl DecisionQueue {
    /// Queues in front of an engine, both empty.
    pub fn new(engine: DecisionEngine) -> DecisionQueue {
        DecisionQueue {
            engine,
            events: VecDeque::new(),
            actions: VecDeque::new(),
            action_buffer: Vec::new(),
        }
    }

    /// Queues an event.
    pub fn push(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// The next action to carry out, or none once all events have been handled. All actions on one
    /// event come before the next event is handled.
    pub fn next_action(&mut self, now: Timestamp) -> Option<Action> {
        loop {
            if let Some(action) = self.actions.pop_front() {
                return Some(action);
            }
            let event = self.events.pop_front()?;
            self.engine.handle(now, event, &mut self.action_buffer);
            self.actions.extend(self.action_buffer.drain(..));
        }
    }
}
