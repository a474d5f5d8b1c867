//! Bounded queue of the increments that wait for the next batch. It is fair to connections: items are taken from them round
//! robin.

use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::hash::Hash;

/// One connection may use the capacity divided by this number.
const CONNECTION_CAPACITY_DIVISOR: usize = 4;

/// A bounded queue that serves its connections round robin.
#[derive(Debug)]
pub struct PendingQueue<K, T> {
    queues: FxHashMap<K, VecDeque<T>>,
    /// Connections that have items, in the order in which they are served.
    round_robin: VecDeque<K>,
    len: usize,
    capacity: usize,
}

impl<K: Copy + Eq + Hash, T> PendingQueue<K, T> {
    /// An empty queue for up to `capacity` items, of which one connection may use a quarter.
    pub fn new(capacity: usize) -> PendingQueue<K, T> {
        PendingQueue {
            queues: FxHashMap::default(),
            round_robin: VecDeque::new(),
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

    /// Adds an item, or returns it if the queue or the connection is at its capacity.
    pub fn push(&mut self, connection: K, item: T) -> Result<(), T> {
        let connection_len = self.queues.get(&connection).map_or(0, VecDeque::len);
        let connection_capacity = (self.capacity / CONNECTION_CAPACITY_DIVISOR).max(1);
        if self.len >= self.capacity || connection_len >= connection_capacity {
            return Err(item);
        }
        if connection_len == 0 {
            self.round_robin.push_back(connection);
        }
        self.queues.entry(connection).or_default().push_back(item);
        self.len += 1;
        Ok(())
    }

    /// Removes and returns up to `max_items`, one per connection in turn.
    pub fn take(&mut self, max_items: usize) -> Vec<T> {
        let mut items = Vec::with_capacity(max_items.min(self.len));
        while items.len() < max_items {
            let Some(connection) = self.round_robin.pop_front() else {
                break;
            };
            let Some(queue) = self.queues.get_mut(&connection) else {
                continue;
            };
            items.extend(queue.pop_front());
            if queue.is_empty() {
                self.queues.remove(&connection);
            } else {
                self.round_robin.push_back(connection);
            }
        }
        self.len -= items.len();
        items
    }

    /// Drops the items of a closed connection.
    pub fn remove_connection(&mut self, connection: K) {
        if let Some(queue) = self.queues.remove(&connection) {
            self.len -= queue.len();
            self.round_robin.retain(|other| *other != connection);
        }
    }
}

#[cfg(test)]
mod tests;
