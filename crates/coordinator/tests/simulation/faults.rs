//! Fault injection into the simulated fleet.

use super::{Node, Simulation};
use chalkdeck_coordinator::replica::StartMode;
use chalkdeck_wal::simulated_disk::SimulatedDisk;

/// A fault, or the end of one. Replicas and gateways are identified by their indices.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Drops all messages from the first node to the second.
    Cut(Node, Node),
    Heal(Node, Node),
    HealAll,
    /// Sets the additional delay of messages between replicas, in microseconds.
    DelayBetweenReplicas(u64),
    /// Sets the percentage of messages that are lost.
    Loss(u8),
    CrashReplica(usize),
    StartReplica(usize),
    LoseDisk(usize),
    CopyDisk(usize),
    /// Replaces the disk by the copy.
    RestoreOldDisk(usize),
    /// Stalls a node until a time.
    Stall(Node, u64),
    KillGateway(usize),
    StartGateway(usize),
    StopGateway(usize),
    FillDisk(usize),
}

impl Simulation {
    pub(super) fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Cut(from, to) => {
                self.links.cut.insert((from, to));
            }
            Fault::Heal(from, to) => {
                self.links.cut.remove(&(from, to));
            }
            Fault::HealAll => {
                self.links.cut.clear();
                self.links.loss_percent = 0;
            }
            Fault::DelayBetweenReplicas(delay) => self.links.delay_between_replicas = delay,
            Fault::Loss(percent) => self.links.loss_percent = percent,
            Fault::Stall(node, until) => self.stall(node, until),
            Fault::CrashReplica(replica) => {
                let node = &mut self.replicas[replica];
                node.running = None;
                node.disk = node.disk.after_crash();
            }
            Fault::StartReplica(replica) => self.restart_replica(replica),
            Fault::LoseDisk(_) | Fault::CopyDisk(_) | Fault::RestoreOldDisk(_) => {
                self.replace_disk(fault);
            }
            Fault::FillDisk(replica) => self.replicas[replica].disk.fail_next_append(),
            Fault::KillGateway(gateway) => self.kill_gateway(gateway),
            Fault::StartGateway(gateway) => {
                if self.gateways[gateway].agent.is_none() {
                    self.start_gateway(gateway);
                }
            }
            Fault::StopGateway(gateway) => self.stop_gateway(gateway),
        }
    }

    fn stall(&mut self, node: Node, until: u64) {
        match node {
            Node::Replica(replica) => self.replicas[replica].stalled_until = until,
            Node::Gateway(gateway) => self.gateways[gateway].stalled_until = until,
            Node::Resource | Node::Operator(_) => {}
        }
    }

    fn restart_replica(&mut self, replica: usize) {
        let node = &mut self.replicas[replica];
        if node.running.is_some() {
            return;
        }
        node.disk = node.disk.after_crash();
        // Bootstrap mode is only for the first start of the cluster.
        self.start_replica(replica, StartMode::Join);
    }

    fn replace_disk(&mut self, fault: Fault) {
        match fault {
            Fault::LoseDisk(replica) => {
                let node = &mut self.replicas[replica];
                node.running = None;
                node.disk = SimulatedDisk::new(self.rng.u64(..));
            }
            Fault::CopyDisk(replica) => {
                let node = &mut self.replicas[replica];
                node.disk_copy = Some(node.disk.after_crash());
            }
            Fault::RestoreOldDisk(replica) => {
                let node = &mut self.replicas[replica];
                if let Some(copy) = node.disk_copy.take() {
                    node.running = None;
                    node.disk = copy;
                }
            }
            _ => {}
        }
    }

    fn kill_gateway(&mut self, gateway: usize) {
        let node = &mut self.gateways[gateway];
        if node.agent.take().is_some() {
            self.hits_of_killed_gateways += node.hits;
        }
    }

    fn stop_gateway(&mut self, gateway: usize) {
        if let Some(agent) = &mut self.gateways[gateway].agent {
            agent.resign();
            agent.close();
            self.perform_actions(gateway);
            self.kill_gateway(gateway);
        }
    }
}
