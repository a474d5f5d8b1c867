//! Queue between a gateway's event loop and the decision engine. It passes events to the engine one
//! by one and returns the resulting actions one by one. It contains no decision logic.

use crate::api::{Action, Event, Timestamp};
use crate::engine::DecisionEngine;
use std::collections::VecDeque;

/// A decision engine with its unhandled events and the actions that have not been carried out. An
/// event loop that takes actions until none is left finds both queues empty at its next iteration.
pub struct DecisionQueue {
    /// The decision engine.
    pub engine: DecisionEngine,
    events: VecDeque<Event>,
    actions: VecDeque<Action>,
    /// Reusable buffer for the actions of one event.
    action_buffer: Vec<Action>,
}

impl DecisionQueue {
    /// Wraps an engine, with both queues empty.
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

    /// Returns the next action to carry out, or `None` once all events have been handled. All
    /// actions of one event are returned before the next event is handled.
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
