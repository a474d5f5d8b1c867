//! Keeps the replies to pipelined commands in the order of the commands.

use std::collections::VecDeque;

/// The reserved position of a reply in its [`ReplyQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplySlot(u64);

/// The replies to the pipelined commands of one connection. A reply that is ready waits for the replies before it.
#[derive(Debug)]
pub struct ReplyQueue<T> {
    /// A slot is `None` until its reply is known.
    slots: VecDeque<Option<T>>,
    /// The number of the first slot in the queue; slots are numbered consecutively from 0.
    first_slot: u64,
}

impl<T> Default for ReplyQueue<T> {
    fn default() -> ReplyQueue<T> {
        ReplyQueue {
            slots: VecDeque::new(),
            first_slot: 0,
        }
    }
}

impl<T> ReplyQueue<T> {
    /// The number of replies in the queue, whether they are ready or not.
    pub fn pending(&self) -> usize {
        self.slots.len()
    }

    /// Appends a reply that is ready.
    pub fn push(&mut self, reply: T) {
        self.slots.push_back(Some(reply));
    }

    /// Reserves the next position for a reply that is not known yet.
    pub fn reserve(&mut self) -> ReplySlot {
        let slot = ReplySlot(self.first_slot + self.slots.len() as u64);
        self.slots.push_back(None);
        slot
    }

    /// Whether no reply waits before a reserved slot.
    pub fn is_first(&self, slot: ReplySlot) -> bool {
        slot.0 <= self.first_slot
    }

    /// The first reply, if it is ready.
    pub fn first_ready(&self) -> Option<&T> {
        self.slots.front().and_then(Option::as_ref)
    }

    /// Sets the reply of a reserved slot. Does nothing if the reply of the slot has already been taken.
    pub fn fill(&mut self, slot: ReplySlot, reply: T) {
        let Some(index) = slot.0.checked_sub(self.first_slot) else {
            return;
        };
        if let Some(entry) = self.slots.get_mut(index as usize) {
            *entry = Some(reply);
        }
    }

    /// Removes and returns the first reply, if it is ready.
    pub fn pop_ready(&mut self) -> Option<T> {
        let reply = self.slots.front_mut().and_then(Option::take)?;
        self.slots.pop_front();
        self.first_slot += 1;
        Some(reply)
    }
}
