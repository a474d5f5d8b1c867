//! Adds that wait for the next batch, fair over connections and bounded: each connection in turn gives one.

use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Adds that wait, by connection.
#[derive(Debug)]
pub struct Waiting<K, T> {
    queues: FxHashMap<K, VecDeque<T>>,
    turns: VecDeque<K>,
    len: usize,
    most: usize,
}

impl<K: Copy + Eq + std::hash::Hash, T> Waiting<K, T> {
    /// At most so many in all, and a quarter of them of one connection.
    pub fn new(most: usize) -> Waiting<K, T> {
        Waiting {
            queues: FxHashMap::default(),
            turns: VecDeque::new(),
            len: 0,
            most,
        }
    }
    /// How many wait.
    pub fn len(&self) -> usize {
        self.len
    }
    /// None waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
    /// Takes one in, or gives it back where there is no room.
    pub fn push(&mut self, key: K, item: T) -> Result<(), T> {
        let own = self.queues.get(&key).map_or(0, VecDeque::len);
        if self.len >= self.most || own >= (self.most / 4).max(1) {
            return Err(item);
        }
        if own == 0 {
            self.turns.push_back(key);
        }
        self.queues.entry(key).or_default().push_back(item);
        self.len += 1;
        Ok(())
    }
    /// Up to `most` of them, one of each connection in turn.
    pub fn take(&mut self, most: usize) -> Vec<T> {
        let mut out = Vec::with_capacity(most.min(self.len));
        while out.len() < most {
            let Some(key) = self.turns.pop_front() else {
                break;
            };
            let Some(queue) = self.queues.get_mut(&key) else {
                continue;
            };
            out.extend(queue.pop_front());
            if queue.is_empty() {
                self.queues.remove(&key);
            } else {
                self.turns.push_back(key);
            }
        }
        self.len -= out.len();
        out
    }
    /// A connection is gone: what it asked is not counted.
    pub fn forget(&mut self, key: K) {
        if let Some(queue) = self.queues.remove(&key) {
            self.len -= queue.len();
            self.turns.retain(|k| *k != key);
        }
    }
}

#[cfg(test)]
mod tests;
