//! Proposals to the coordinator: reads them from a file, submits them, and polls their progress until they are in force.

use crate::errors::ProposalError;
use crate::failure::Failure;
use crate::replica_args::ReplicaArgs;
use chalkdeck_coordinator::client::CoordinatorClient;
use chalkdeck_coordinator::proposal_progress::{progress, ProposalProgress};
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use chalkdeck_proto::text;
use std::path::Path;
use std::time::{Duration, Instant};
use wire::command::Kind as CommandKind;
use wire::read_request::Kind as ReadKind;

/// The pause between two reads of a proposal's progress.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Reads a file in protobuf text format. `message` is the message's full name. Errors: the file cannot be read, or is
/// not valid text of the message.
pub fn read_text<M: prost::Message + Default>(
    message: &str,
    path: &Path,
) -> Result<M, ProposalError> {
    let file = path.display().to_string();
    let source = std::fs::read_to_string(path).map_err(|source| ProposalError::File {
        file: file.clone(),
        source,
    })?;
    text::parse(message, &source).map_err(|error| ProposalError::Form {
        file,
        line: error.line,
        what: error.message,
    })
}

/// A read of the replicated state for one customer, or for all customers if the name is empty.
pub fn read_request(kind: ReadKind, customer: &str) -> wire::ReadRequest {
    wire::ReadRequest {
        kind: kind as i32,
        customer: customer.into(),
        ..wire::ReadRequest::default()
    }
}

/// Submits a proposal and waits until it is rejected, admitted (a contract) or in force (a rule set).
pub fn submit(replicas: &ReplicaArgs, propose: wire::Propose) -> Result<(), Failure> {
    let mut client = replicas.client()?;
    let response = client.submit(CommandKind::Propose(propose), replicas.timeout())?;
    let request = wire::ReadRequest {
        proposal: response.id,
        ..read_request(ReadKind::Verdict, "")
    };
    ProposalWatch {
        request,
        known_verdict: None,
        proposal: response.id,
    }
    .wait_until_done(&mut client, replicas)
}

/// Waits until the current rule set of a customer is in force.
pub fn wait_for_rule_set(replicas: &ReplicaArgs, customer: &str) -> Result<(), Failure> {
    let mut client = replicas.client()?;
    let request = read_request(ReadKind::Verdict, customer);
    let response = client.read(&request, replicas.timeout())?;
    let version = response
        .in_force
        .as_ref()
        .map_or(0, |in_force| in_force.version);
    if version == 0 {
        println!("{customer} has no rule set");
        return Ok(());
    }
    let verdict = wire::Verdict {
        admitted: true,
        set_version: version,
        customer: customer.to_string(),
        ..wire::Verdict::default()
    };
    ProposalWatch {
        request,
        known_verdict: Some(verdict),
        proposal: 0,
    }
    .wait_until_done(&mut client, replicas)
}

/// A proposal whose progress is polled.
struct ProposalWatch {
    request: wire::ReadRequest,
    /// The verdict to use if a response has none, which is so when waiting for a rule set without a proposal.
    known_verdict: Option<wire::Verdict>,
    /// The proposal's number; 0 when waiting for a rule set without a proposal.
    proposal: u64,
}

impl ProposalWatch {
    fn wait_until_done(
        &self,
        client: &mut CoordinatorClient,
        replicas: &ReplicaArgs,
    ) -> Result<(), Failure> {
        let deadline = Instant::now() + Duration::from_secs(replicas.wait);
        loop {
            let mut response = client.read(&self.request, replicas.timeout())?;
            response.verdict = response.verdict.or_else(|| self.known_verdict.clone());
            let is_timed_out = Instant::now() >= deadline;
            match progress(&response) {
                ProposalProgress::Pending if is_timed_out => {
                    return Err(self.not_judged(replicas).into())
                }
                ProposalProgress::Unacknowledged { version, gateways } if is_timed_out => {
                    let error = ProposalError::NotInForce {
                        version,
                        seconds: replicas.wait,
                        missing: gateways,
                    };
                    return Err(error.into());
                }
                ProposalProgress::Pending | ProposalProgress::Unacknowledged { .. } => {
                    std::thread::sleep(POLL_INTERVAL);
                }
                outcome => return print_outcome(outcome),
            }
        }
    }

    fn not_judged(&self, replicas: &ReplicaArgs) -> ProposalError {
        ProposalError::NotJudged {
            proposal: self.proposal,
            seconds: replicas.wait,
        }
    }
}

/// Prints the outcome of a proposal. Errors: it was rejected.
fn print_outcome(outcome: ProposalProgress) -> Result<(), Failure> {
    match outcome {
        ProposalProgress::Rejected(reasons) => {
            return Err(ProposalError::Rejected { reasons }.into())
        }
        ProposalProgress::Admitted => println!("admitted"),
        ProposalProgress::InForce { version, unknown } => {
            println!("version {version} is in force");
            if !unknown.is_empty() {
                println!(
                    "except for {} gateways that are cut off and apply the rule set that they last received: {}",
                    unknown.len(),
                    unknown.join(", ")
                );
            }
        }
        ProposalProgress::Superseded { version, by } => {
            println!("version {version} was replaced by version {by} before it was in force");
        }
        ProposalProgress::Pending | ProposalProgress::Unacknowledged { .. } => {}
    }
    Ok(())
}
