//! The client of the shared counter. The counter is partitioned by key, and each partition has its own connection, so that the loss
//! of one partition does not affect the others.

mod partition;
mod result_order;
mod state_tracker;

pub(crate) use partition::Increment;
pub(crate) use result_order::CounterResult;
pub(crate) use state_tracker::StateChange;

use chalkdeck::api::CounterKey;
use chalkdeck_net::{ConnId, Engine, StreamId};
use partition::PartitionClient;
use std::net::SocketAddr;

/// The clients of all partitions. Times are microseconds of the event loop's clock.
pub(crate) struct CounterClient {
    partitions: Vec<PartitionClient>,
}

impl CounterClient {
    /// A client of the partitions at these addresses; `None`: there are no addresses, and thus no counter.
    pub(crate) fn new(addresses: &[SocketAddr], now: u64) -> Option<CounterClient> {
        if addresses.is_empty() {
            return None;
        }
        let partitions = addresses
            .iter()
            .map(|address| PartitionClient::new(*address, now))
            .collect();
        Some(CounterClient { partitions })
    }

    /// Sends an increment to the partition of its key. Returns the results of calls that end at once.
    pub(crate) fn add(&mut self, engine: &mut Engine, increment: &Increment) -> Vec<CounterResult> {
        self.partition_of(increment.key).add(engine, increment)
    }

    /// The deadline of the open call that times out first.
    pub(crate) fn next_deadline(&mut self) -> Option<u64> {
        self.partitions
            .iter_mut()
            .filter_map(PartitionClient::next_deadline)
            .min()
    }

    /// Ends the calls whose deadline has passed.
    pub(crate) fn expire_calls(&mut self, engine: &mut Engine) -> Vec<CounterResult> {
        self.partitions
            .iter_mut()
            .flat_map(|partition| partition.expire_calls(engine))
            .collect()
    }

    /// A connection is established. Returns the results of calls that end; `None`: it is not a connection to the counter.
    pub(crate) fn on_connected(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
    ) -> Option<Vec<CounterResult>> {
        self.partitions
            .iter_mut()
            .find_map(|partition| partition.on_connected(engine, conn))
    }

    /// A connection is closed. Returns the results of calls that end; `None`: it is not a connection to the counter.
    pub(crate) fn on_closed(&mut self, conn: ConnId) -> Option<Vec<CounterResult>> {
        self.partitions
            .iter_mut()
            .find_map(|partition| partition.on_closed(conn))
    }

    /// The partition that a stream belongs to.
    pub(crate) fn partition_of_stream(&mut self, stream: StreamId) -> Option<&mut PartitionClient> {
        self.partitions
            .iter_mut()
            .find(|partition| partition.owns_stream(stream))
    }

    /// Sends the increments that were added in this turn of the event loop.
    pub(crate) fn flush(&mut self, engine: &mut Engine) {
        for partition in &mut self.partitions {
            partition.flush(engine);
        }
    }

    /// Takes the changes of the partitions' states that responses have revealed.
    pub(crate) fn take_state_changes(&mut self) -> Vec<StateChange> {
        self.partitions
            .iter_mut()
            .flat_map(PartitionClient::take_state_changes)
            .collect()
    }

    fn partition_of(&mut self, key: CounterKey) -> &mut PartitionClient {
        let index = (key.0 % self.partitions.len() as u64) as usize;
        &mut self.partitions[index]
    }
}
