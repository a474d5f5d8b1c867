//! Operators as nodes of the simulation: one proposes rule sets, the other overrides a site, one command after another.

use super::gateways::CUSTOMER;
use super::network::Message;
use super::{Node, Simulation, MILLISECOND};
use chalkdeck_coordinator::protocol::{
    wire, CommandKind, CommandResponse, ReadKind, ReadRequest, ReadResponse, ResponseCode,
};

/// A command without a response for this long is sent again, to a random replica.
const RETRY_INTERVAL: u64 = 700 * MILLISECOND;
/// The operator that proposes rule sets. The ids in the responses to its commands increase.
pub(super) const PROPOSER: usize = 0;

/// A command that was applied and answered.
#[derive(Clone, Debug)]
pub struct CompletedCommand {
    pub operator: usize,
    pub started_at: u64,
    pub ended_at: u64,
    /// A number from the response that increases from command to command.
    pub id: u64,
}

pub(super) struct OperatorNode {
    caller: u64,
    last_number: u64,
    started_at: u64,
    last_sent_at: u64,
    pending: Option<wire::Command>,
    /// The proposal of a rule set that is not in force yet.
    watched_proposal: Option<u64>,
}

impl OperatorNode {
    pub(super) fn new(caller: u64) -> OperatorNode {
        OperatorNode {
            caller,
            last_number: 0,
            started_at: 0,
            last_sent_at: 0,
            pending: None,
            watched_proposal: None,
        }
    }
}

fn command_kind_of(operator: usize) -> CommandKind {
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
            if now >= node.last_sent_at + RETRY_INTERVAL {
                node.last_sent_at = now;
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
            kind: Some(command_kind_of(operator)),
            ..wire::Command::default()
        };
        node.started_at = now;
        node.last_sent_at = now;
        node.pending = Some(command.clone());
        self.send(from, replica, Message::Command(command.number, command));
    }

    pub(super) fn handle_command_response(
        &mut self,
        operator: usize,
        number: u64,
        response: &CommandResponse,
    ) {
        let node = &mut self.operators[operator];
        if node.pending.as_ref().is_none_or(|c| c.number != number) {
            return;
        }
        // Not applied: the same command is sent again.
        if response.code != ResponseCode::Done as i32 {
            return;
        }
        node.pending = None;
        let is_proposal = operator == PROPOSER;
        let completed = CompletedCommand {
            operator,
            started_at: node.started_at,
            ended_at: self.now,
            id: if is_proposal {
                response.id
            } else {
                response.version
            },
        };
        if is_proposal {
            node.watched_proposal = Some(response.id);
            self.proposal_count += 1;
        }
        self.history.push(completed);
    }

    pub(super) fn handle_read_response(&mut self, operator: usize, response: ReadResponse) {
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
