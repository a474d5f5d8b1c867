//! Increments that wait for the next batch: bounded, and fair over connections, each of which gives one in turn.

use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::hash::Hash;

/// A connection may use this fraction of the capacity.
const CONNECTION_FRACTION: usize = 4;

/// Items by connection, taken round robin.
#[derive(Debug)]
pub struct PendingQueue<K, T> {
    queues: FxHashMap<K, VecDeque<T>>,
    /// Connections that have items, the next one first.
    round: VecDeque<K>,
    len: usize,
    capacity: usize,
}

impl<K: Copy + Eq + Hash, T> PendingQueue<K, T> {
    /// An empty queue of at most `capacity` items, a quarter of them of one connection.
    pub fn new(capacity: usize) -> PendingQueue<K, T> {
        PendingQueue {
            queues: FxHashMap::default(),
            round: VecDeque::new(),
            len: 0,
            capacity,
        }
    }

    /// Number of items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an item, or returns it if there is no room for it.
    pub fn push(&mut self, connection: K, item: T) -> Result<(), T> {
        let connection_len = self.queues.get(&connection).map_or(0, VecDeque::len);
        let connection_capacity = (self.capacity / CONNECTION_FRACTION).max(1);
        if self.len >= self.capacity || connection_len >= connection_capacity {
            return Err(item);
        }
        if connection_len == 0 {
            self.round.push_back(connection);
        }
        self.queues.entry(connection).or_default().push_back(item);
        self.len += 1;
        Ok(())
    }

    /// Takes up to `max_items`, one of each connection in turn.
    pub fn take(&mut self, max_items: usize) -> Vec<T> {
        let mut items = Vec::with_capacity(max_items.min(self.len));
        while items.len() < max_items {
            let Some(connection) = self.round.pop_front() else {
                break;
            };
            let Some(queue) = self.queues.get_mut(&connection) else {
                continue;
            };
            items.extend(queue.pop_front());
            if queue.is_empty() {
                self.queues.remove(&connection);
            } else {
                self.round.push_back(connection);
            }
        }
        self.len -= items.len();
        items
    }

    /// Drops the items of a connection that was closed.
    pub fn remove_connection(&mut self, connection: K) {
        if let Some(queue) = self.queues.remove(&connection) {
            self.len -= queue.len();
            self.round.retain(|other| *other != connection);
        }
    }
}

#[cfg(test)]
mod tests;
