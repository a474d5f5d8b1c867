//! Proposals to the coordinator: read from a file in text form, submitted, and followed until they are in force.

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

/// Pause between two reads of a proposal's progress.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Reads a message in text form. Errors: a file that cannot be read or is not that message.
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

/// A read of the replicated state about one customer; all customers if the name is empty.
pub fn read_request(kind: ReadKind, customer: &str) -> wire::ReadRequest {
    wire::ReadRequest {
        kind: kind as i32,
        customer: customer.into(),
        ..wire::ReadRequest::default()
    }
}

/// Submits a proposal and waits until it is admitted, in force or rejected.
pub fn submit(to: &ReplicaArgs, propose: wire::Propose) -> Result<(), Failure> {
    let mut client = to.client()?;
    let answer = client.submit(CommandKind::Propose(propose), to.timeout())?;
    let request = wire::ReadRequest {
        proposal: answer.id,
        ..read_request(ReadKind::Verdict, "")
    };
    Follow {
        request,
        known_verdict: None,
        proposal: answer.id,
    }
    .until_done(&mut client, to)
}

/// Waits until the present rule set of a customer is in force.
pub fn wait_for_rule_set(to: &ReplicaArgs, customer: &str) -> Result<(), Failure> {
    let mut client = to.client()?;
    let request = read_request(ReadKind::Verdict, customer);
    let answer = client.read(&request, to.timeout())?;
    let version = answer.in_force.as_ref().map_or(0, |f| f.version);
    if version == 0 {
        println!("{customer} has no set");
        return Ok(());
    }
    let verdict = wire::Verdict {
        admitted: true,
        set_version: version,
        customer: customer.to_string(),
        ..wire::Verdict::default()
    };
    Follow {
        request,
        known_verdict: Some(verdict),
        proposal: 0,
    }
    .until_done(&mut client, to)
}

/// A proposal whose progress is polled.
struct Follow {
    request: wire::ReadRequest,
    /// The verdict, where it is known without the proposal.
    known_verdict: Option<wire::Verdict>,
    /// Number of the proposal; 0 if only a rule set is waited for.
    proposal: u64,
}

impl Follow {
    fn until_done(&self, client: &mut CoordinatorClient, to: &ReplicaArgs) -> Result<(), Failure> {
        let deadline = Instant::now() + Duration::from_secs(to.wait);
        loop {
            let mut answer = client.read(&self.request, to.timeout())?;
            answer.verdict = answer.verdict.or_else(|| self.known_verdict.clone());
            let is_late = Instant::now() >= deadline;
            match progress(&answer) {
                ProposalProgress::Pending if is_late => return Err(self.not_judged(to).into()),
                ProposalProgress::Unacknowledged { version, gateways } if is_late => {
                    let error = ProposalError::NotInForce {
                        version,
                        seconds: to.wait,
                        missing: gateways,
                    };
                    return Err(error.into());
                }
                ProposalProgress::Pending | ProposalProgress::Unacknowledged { .. } => {
                    std::thread::sleep(POLL_INTERVAL);
                }
                finished => return print_result(finished),
            }
        }
    }

    fn not_judged(&self, to: &ReplicaArgs) -> ProposalError {
        ProposalError::NotJudged {
            proposal: self.proposal,
            seconds: to.wait,
        }
    }
}

/// Prints how a proposal ended. Errors: it was rejected.
fn print_result(progress: ProposalProgress) -> Result<(), Failure> {
    match progress {
        ProposalProgress::Rejected(breaks) => return Err(ProposalError::Rejected { breaks }.into()),
        ProposalProgress::Admitted => println!("admitted"),
        ProposalProgress::InForce { version, unknown } => {
            println!("version {version} is in force");
            if !unknown.is_empty() {
                println!(
                    "but for {} gateways that are cut off and go by what they last heard: {}",
                    unknown.len(),
                    unknown.join(", ")
                );
            }
        }
        ProposalProgress::Superseded { version, by } => {
            println!("version {version} was followed by version {by} before it was in force");
        }
        ProposalProgress::Pending | ProposalProgress::Unacknowledged { .. } => {}
    }
    Ok(())
}
