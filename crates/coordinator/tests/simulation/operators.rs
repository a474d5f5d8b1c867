//! Operators: the first proposes rule sets, the second overrides a site, one command after another.

use super::gateways::CUSTOMER;
use super::network::Message;
use super::{Node, Simulation, MS};
use chalkdeck_coordinator::protocol::{
    wire, CommandKind, CommandResponse, ReadKind, ReadRequest, ReadResponse, ResponseCode,
};

/// A command without a response for so long is sent again, to any replica.
const RETRY_INTERVAL: u64 = 700 * MS;
/// The operator that proposes rule sets. Responses to its commands have ids that only grow.
pub(super) const PROPOSER: usize = 0;

/// A command that was answered.
#[derive(Clone, Debug)]
pub struct CompletedCommand {
    pub operator: usize,
    pub begun: u64,
    pub ended: u64,
    /// A number in the response that only grows.
    pub id: u64,
}

pub(super) struct OperatorNode {
    caller: u64,
    last_number: u64,
    begun: u64,
    sent: u64,
    pending: Option<wire::Command>,
    /// A rule set that was proposed, until it is in force.
    watched_proposal: Option<u64>,
}

impl OperatorNode {
    pub(super) fn new(caller: u64) -> OperatorNode {
        OperatorNode {
            caller,
            last_number: 0,
            begun: 0,
            sent: 0,
            pending: None,
            watched_proposal: None,
        }
    }
}

fn command_of(operator: usize) -> CommandKind {
    if operator != PROPOSER {
        return CommandKind::OverrideSite(wire::OverrideSite {
            site: "north".into(),
            action: "hold".into(),
        });
    }
    let set = wire::RuleSet {
        customer: CUSTOMER.into(),
        otherwise: wire::access_rule::Action::Allow as i32,
        stale: wire::rule_set::Stale::Deny as i32,
        ..wire::RuleSet::default()
    };
    CommandKind::Propose(wire::Propose {
        proposed: Some(wire::propose::Proposed::Rules(set)),
        force: true,
    })
}

impl Simulation {
    pub(super) fn operator_tick(&mut self, operator: usize) {
        let replica = Node::Replica(self.rng.usize(0..self.replicas.len()));
        let from = Node::Operator(operator);
        let now = self.now;
        let node = &mut self.operators[operator];
        if let Some(command) = node.pending.clone() {
            if now >= node.sent + RETRY_INTERVAL {
                node.sent = now;
                self.send(from, replica, Message::Command(command.number, command));
            }
            return;
        }
        if let Some(proposal) = node.watched_proposal {
            let request = ReadRequest {
                kind: ReadKind::Verdict as i32,
                proposal,
                ..ReadRequest::default()
            };
            return self.send(from, replica, Message::Read(proposal, request));
        }
        node.last_number += 1;
        let command = wire::Command {
            caller: node.caller,
            number: node.last_number,
            begun_version: 0,
            kind: Some(command_of(operator)),
            ..wire::Command::default()
        };
        node.begun = now;
        node.sent = now;
        node.pending = Some(command.clone());
        self.send(from, replica, Message::Command(command.number, command));
    }

    pub(super) fn command_answered(
        &mut self,
        operator: usize,
        number: u64,
        response: &CommandResponse,
    ) {
        let node = &mut self.operators[operator];
        if node.pending.as_ref().is_none_or(|c| c.number != number) {
            return;
        }
        // Not applied: the same is sent again.
        if response.code != ResponseCode::Done as i32 {
            return;
        }
        node.pending = None;
        let is_proposal = operator == PROPOSER;
        let completed = CompletedCommand {
            operator,
            begun: node.begun,
            ended: self.now,
            id: if is_proposal {
                response.id
            } else {
                response.version
            },
        };
        if is_proposal {
            node.watched_proposal = Some(response.id);
            self.proposals += 1;
        }
        self.history.push(completed);
    }

    pub(super) fn read_answered(&mut self, operator: usize, response: ReadResponse) {
        let node = &mut self.operators[operator];
        let watched = node.watched_proposal;
        let verdict = response.verdict.filter(|v| Some(v.proposal) == watched);
        let (Some(verdict), Some(in_force)) = (verdict, response.in_force) else {
            return;
        };
        let is_in_force = in_force.in_force
            && in_force.unknown.is_empty()
            && in_force.version >= verdict.set_version;
        if !is_in_force {
            return;
        }
        node.watched_proposal = None;
        self.sets_in_force += 1;
        let version = self.in_force.entry(verdict.customer).or_default();
        *version = (*version).max(in_force.version);
    }
}
