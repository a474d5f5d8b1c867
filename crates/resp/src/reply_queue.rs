//! Replies in the order of their commands.

use std::collections::VecDeque;

/// The place of one reply in its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplySlot(u64);

/// The replies of one connection. A reply that is ready waits for those before it.
#[derive(Debug)]
pub struct ReplyQueue<T> {
    /// A slot is empty until its reply is known.
    slots: VecDeque<Option<T>>,
    /// Number of the first slot.
    first: u64,
}

impl<T> Default for ReplyQueue<T> {
    fn default() -> ReplyQueue<T> {
        ReplyQueue {
            slots: VecDeque::new(),
            first: 0,
        }
    }
}

impl<T> ReplyQueue<T> {
    /// The number of replies that are not known yet or were not taken yet.
    pub fn pending(&self) -> usize {
        self.slots.len()
    }

    /// Appends a reply that is known at once.
    pub fn push(&mut self, reply: T) {
        self.slots.push_back(Some(reply));
    }

    /// Reserves the place of a reply that is known later.
    pub fn reserve(&mut self) -> ReplySlot {
        let slot = ReplySlot(self.first + self.slots.len() as u64);
        self.slots.push_back(None);
        slot
    }

    /// Fills a reserved slot. A slot whose reply was taken before is left alone.
    pub fn fill(&mut self, slot: ReplySlot, reply: T) {
        let Some(index) = slot.0.checked_sub(self.first) else {
            return;
        };
        if let Some(place) = self.slots.get_mut(index as usize) {
            *place = Some(reply);
        }
    }

    /// Takes the next reply, if it is ready.
    pub fn pop_ready(&mut self) -> Option<T> {
        let reply = self.slots.front_mut().and_then(Option::take)?;
        self.slots.pop_front();
        self.first += 1;
        Some(reply)
    }
}
