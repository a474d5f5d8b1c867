//! The client of the shared counter. The counter is partitioned by key, each partition with a connection of its own, so that the
//! loss of one leaves the others.

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

/// The client of all partitions. Times are microseconds of the loop's clock.
pub(crate) struct CounterClient {
    partitions: Vec<PartitionClient>,
}

impl CounterClient {
    /// `None` without addresses: there is no counter.
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

    /// Sends an increment to its key's partition. Returns what is known at once.
    pub(crate) fn add(&mut self, engine: &mut Engine, increment: &Increment) -> Vec<CounterResult> {
        self.partition_of(increment.key).add(engine, increment)
    }

    /// When the earliest open call times out.
    pub(crate) fn next_timeout(&mut self) -> Option<u64> {
        self.partitions
            .iter_mut()
            .filter_map(PartitionClient::next_timeout)
            .min()
    }

    /// Ends the calls whose time-out has passed.
    pub(crate) fn time_out_calls(&mut self, engine: &mut Engine) -> Vec<CounterResult> {
        self.partitions
            .iter_mut()
            .flat_map(|partition| partition.time_out_calls(engine))
            .collect()
    }

    /// A connection is established; `None`: it is not one of the counter's.
    pub(crate) fn connected(
        &mut self,
        engine: &mut Engine,
        conn: ConnId,
    ) -> Option<Vec<CounterResult>> {
        self.partitions
            .iter_mut()
            .find_map(|partition| partition.connected(engine, conn))
    }

    /// A connection is closed; `None`: it is not one of the counter's.
    pub(crate) fn closed(&mut self, conn: ConnId) -> Option<Vec<CounterResult>> {
        self.partitions
            .iter_mut()
            .find_map(|partition| partition.closed(conn))
    }

    /// The partition that a stream belongs to.
    pub(crate) fn partition_of_stream(&mut self, stream: StreamId) -> Option<&mut PartitionClient> {
        self.partitions
            .iter_mut()
            .find(|partition| partition.owns(stream))
    }

    /// Sends the increments of this turn.
    pub(crate) fn flush(&mut self, engine: &mut Engine) {
        for partition in &mut self.partitions {
            partition.flush(engine);
        }
    }

    /// Changes of the partitions' states since the last call.
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
