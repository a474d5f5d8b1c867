//! Answers in the order of their commands.

use std::collections::VecDeque;

/// The answers of one connection; those that are ready wait for the ones before them.
#[derive(Debug)]
pub struct Answers<T> {
    /// None: it is still to come.
    slots: VecDeque<Option<T>>,
    /// Number of the first slot.
    first: u64,
}

impl<T> Default for Answers<T> {
    fn default() -> Answers<T> {
        Answers {
            slots: VecDeque::new(),
            first: 0,
        }
    }
}

impl<T> Answers<T> {
    /// Answers that are still to come or to be taken.
    pub fn pending(&self) -> usize {
        self.slots.len()
    }
    /// An answer at once.
    pub fn ready(&mut self, answer: T) {
        self.slots.push_back(Some(answer));
    }
    /// An answer to come; returns its slot.
    pub fn wait(&mut self) -> u64 {
        self.slots.push_back(None);
        self.first + self.slots.len() as u64 - 1
    }
    /// Fills a slot; one that was taken before is left alone.
    pub fn answer(&mut self, slot: u64, answer: T) {
        if let Some(place) = slot
            .checked_sub(self.first)
            .and_then(|i| self.slots.get_mut(i as usize))
        {
            *place = Some(answer);
        }
    }
    /// The next answer that can be sent.
    pub fn take(&mut self) -> Option<T> {
        let answer = self.slots.front_mut().and_then(Option::take)?;
        self.slots.pop_front();
        self.first += 1;
        Some(answer)
    }
}
