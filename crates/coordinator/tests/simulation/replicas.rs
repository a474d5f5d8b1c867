//! Replicas as nodes of the simulation.

use super::clock::Clock;
use super::network::Message;
use super::{Node, Simulation, EFFECTS_ELECTION, LEASE_TERMS};
use chalkdeck_coordinator::ids::{RequesterId, Slot};
use chalkdeck_coordinator::log::{OpenedLog, ReplicaLog};
use chalkdeck_coordinator::protocol::ReadRequest;
use chalkdeck_coordinator::replica::{Output, Replica, ReplicaSettings, StartMode};
use chalkdeck_wal::simulated_disk::SimulatedDisk;
use std::collections::BTreeMap;

/// Log size after which a snapshot is written. Small, so that a run writes many.
const SNAPSHOT_THRESHOLD_BYTES: usize = 200_000;
const MAX_LOG_ENTRIES: usize = 300;
/// The requester id of reads of the configuration by other replicas.
const MEMBERS_READER: RequesterId = RequesterId(u64::MAX);

/// A running replica and its log.
pub(super) struct RunningReplica {
    pub(super) core: Replica,
    log: ReplicaLog<SimulatedDisk>,
}

pub(super) struct ReplicaNode {
    pub(super) running: Option<RunningReplica>,
    pub(super) disk: SimulatedDisk,
    clock: Clock,
    pub(super) stalled_until: u64,
    start_count: u64,
    replica_count: usize,
    /// An earlier copy of the disk.
    pub(super) disk_copy: Option<SimulatedDisk>,
    /// The node of each requester, and its stream or call.
    requesters: BTreeMap<RequesterId, (Node, u64)>,
}

impl ReplicaNode {
    pub(super) fn new(disk_seed: u64, clock: Clock, replica_count: usize) -> ReplicaNode {
        ReplicaNode {
            running: None,
            disk: SimulatedDisk::new(disk_seed),
            clock,
            stalled_until: 0,
            start_count: 0,
            replica_count,
            disk_copy: None,
            requesters: BTreeMap::new(),
        }
    }

    pub(super) fn add_requester(&mut self, id: RequesterId, node: Node, stream: u64) {
        self.requesters.insert(id, (node, stream));
    }

    /// The replica, if it is running.
    pub(super) fn core(&self) -> Option<&Replica> {
        self.running.as_ref().map(|running| &running.core)
    }

    fn settings(&self, replica: usize, opened: &OpenedLog<SimulatedDisk>) -> ReplicaSettings {
        let identity = opened.identity;
        let has_configuration = opened.state.configuration.number > 0;
        ReplicaSettings {
            slot: Slot(replica as u32 + 1),
            replica_count: self.replica_count as u32,
            lease_terms: LEASE_TERMS,
            min_move_interval_ms: 3_000,
            unused_after_ms: 1_000_000,
            max_log_entries: MAX_LOG_ENTRIES,
            elections: vec![EFFECTS_ELECTION.into()],
            incarnation: if has_configuration {
                identity.incarnation ^ (self.start_count << 16)
            } else {
                identity.incarnation
            },
            epoch: identity.epoch,
        }
    }
}

impl Simulation {
    pub(super) fn start_replica(&mut self, replica: usize, start_mode: StartMode) {
        let node = &mut self.replicas[replica];
        node.start_count += 1;
        let incarnation = (replica as u64 + 1) << 32 | node.start_count;
        let mut opened = match ReplicaLog::open(node.disk.clone(), incarnation) {
            Ok(opened) => opened,
            Err(error) => {
                let violation = format!("replica {replica} does not start: {error}");
                return self.violations.push(violation);
            }
        };
        opened.log.set_snapshot_threshold(SNAPSHOT_THRESHOLD_BYTES);
        let settings = node.settings(replica, &opened);
        let now = node.clock.at(self.now);
        match Replica::new(settings, opened.state, opened.position, start_mode, now) {
            Ok(core) => {
                let log = opened.log;
                node.running = Some(RunningReplica { core, log });
            }
            Err(error) => self.violations.push(format!("replica {replica}: {error}")),
        }
        self.replica_turn(replica, |_| {});
    }

    /// Runs one turn of a replica: handles input, writes the record to the disk, then sends the outputs.
    pub(super) fn replica_turn(&mut self, replica: usize, receive: impl FnOnce(&mut Replica)) {
        let node = &mut self.replicas[replica];
        let now = node.clock.at(self.now);
        let Some(running) = &mut node.running else {
            return;
        };
        running.core.advance_clock(now);
        receive(&mut running.core);
        if running.write_record().is_err() {
            // The outputs of the turn are not sent.
            node.running = None;
            return;
        }
        for output in running.core.take_outputs() {
            self.replica_output(replica, output);
        }
    }

    fn replica_output(&mut self, replica: usize, output: Output) {
        let from = Node::Replica(replica);
        match output {
            Output::Peer(slot, message) => {
                let to = Node::Replica(slot.index());
                self.send(from, to, Message::Peer(*message));
            }
            Output::ReadMembers(slot, request) => {
                let to = Node::Replica(slot.index());
                self.send(from, to, Message::ReadMembers(replica, request));
            }
            Output::CommandResponse(requester, response) => {
                self.respond(replica, requester, |call| {
                    Message::CommandResponse(call, response)
                });
            }
            Output::ReadResponse(requester, response) => {
                self.respond(replica, requester, |_| Message::ReadResponse(*response));
            }
            Output::Session(requester, message) => {
                self.respond(replica, requester, |stream| {
                    Message::ToGateway(stream, *message)
                });
            }
        }
    }

    fn respond(
        &mut self,
        replica: usize,
        requester: RequesterId,
        message: impl FnOnce(u64) -> Message,
    ) {
        let requesters = &self.replicas[replica].requesters;
        if let Some((node, stream)) = requesters.get(&requester).copied() {
            self.send(Node::Replica(replica), node, message(stream));
        }
    }

    /// Handles a read of the configuration by another replica. Other outputs stay queued until the end of the turn.
    pub(super) fn read_members(&mut self, replica: usize, reader: usize, request: &ReadRequest) {
        let mut response = None;
        self.replica_turn(replica, |core| {
            core.read(MEMBERS_READER, request);
            let mut others = Vec::new();
            for output in core.take_outputs() {
                match output {
                    Output::ReadResponse(MEMBERS_READER, read) => response = Some(*read),
                    other => others.push(other),
                }
            }
            core.requeue_outputs(others);
        });
        if let Some(response) = response {
            let from = Node::Replica(replica);
            self.send(from, Node::Replica(reader), Message::Members(response));
        }
    }
}

/// The simulated disk failed.
struct DiskFailed;

impl RunningReplica {
    fn write_record(&mut self) -> Result<(), DiskFailed> {
        let Some(record) = self.core.end_turn() else {
            return Ok(());
        };
        self.log.write(&record).map_err(|_| DiskFailed)?;
        if self.log.needs_snapshot() {
            let state = self.core.persisted_state();
            self.log.write_snapshot(&state).map_err(|_| DiskFailed)?;
        }
        Ok(())
    }
}
