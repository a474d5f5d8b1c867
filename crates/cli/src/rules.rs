//! `chalkdeck rules`: customers' access rules.

use crate::coordinator::ReplicaArgs;
use crate::failure::Failure;
use chalkdeck_coordinator::client::CoordinatorClient;
use chalkdeck_coordinator::proposal_progress::{progress, ProposalProgress};
use chalkdeck_coordinator::state::rule_set_error;
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use chalkdeck_proto::text;
use clap::Subcommand;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use wire::command::Kind as CommandKind;
use wire::read_request::Kind as ReadKind;

const MESSAGE: &str = "chalkdeck.keeper.v1.RuleSet";
/// Between reads of how far a set has come.
const AGAIN: Duration = Duration::from_millis(50);

/// Why a set is not in force.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum RulesError {
    /// The file is not read.
    #[error("{file}: {source}")]
    #[diagnostic(
        code(chalkdeck::rules::file),
        help("see the path, and whether it may be read")
    )]
    File {
        /// Its path.
        file: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// It is no such message.
    #[error("{file}:{line}: {what}")]
    #[diagnostic(
        code(chalkdeck::rules::form),
        help("docs/access.md and docs/contracts.md show each field")
    )]
    Form {
        /// Its path.
        file: String,
        /// The line, from 1.
        line: usize,
        /// What was expected there.
        what: String,
    },
    /// A set that says something that cannot be.
    #[error("{file}: {what}")]
    #[diagnostic(
        code(chalkdeck::rules::wrong),
        help("docs/access.md has the meaning and bounds of each field")
    )]
    Wrong {
        /// Its path.
        file: String,
        /// What is wrong.
        what: String,
    },
    /// The registrar did not admit it.
    #[error("not admitted:\n  {}", breaks.join("\n  "))]
    #[diagnostic(
        code(chalkdeck::rules::rejected),
        help("nothing was changed; each line says what would break, and what can be done")
    )]
    Rejected {
        /// What it would break.
        breaks: Vec<String>,
    },
    /// Not in force in time.
    #[error("version {version} is admitted and not in force after {seconds} s: {} gateways have not said that they apply it: {}", missing.len(), missing.join(", "))]
    #[diagnostic(
        code(chalkdeck::rules::not_in_force),
        help("it comes into force when they apply it or their sessions lapse; `chalkdeck rules wait` asks again, and the same `apply` is harmless")
    )]
    NotInForce {
        /// The set's version.
        version: u64,
        /// How long was waited.
        seconds: u64,
        /// Gateways.
        missing: Vec<String>,
    },
    /// Nobody judged it in time.
    #[error("proposal {proposal} waits for a registrar after {seconds} s")]
    #[diagnostic(
        code(chalkdeck::rules::not_judged),
        help("see `chalkdeck coordinator status`: the election 'registrar' needs a gateway with a session; the proposal stays")
    )]
    NotJudged {
        /// Its number.
        proposal: u64,
        /// How long was waited.
        seconds: u64,
    },
}

/// What is done.
#[derive(Subcommand)]
pub enum Command {
    /// Put a customer's set of rules into force
    Apply {
        /// Protobuf text of chalkdeck.keeper.v1.RuleSet
        file: PathBuf,
        /// Also where it denies everything that the customer sends
        #[arg(long)]
        force: bool,
        #[command(flatten)]
        to: ReplicaArgs,
    },
    /// Say what a set would have done to the calls of the last minutes; changes nothing
    Check {
        /// The set
        file: PathBuf,
        #[command(flatten)]
        to: ReplicaArgs,
    },
    /// Wait until the set of a customer is in force
    Wait {
        /// The customer
        customer: String,
        #[command(flatten)]
        to: ReplicaArgs,
    },
    /// Print sets
    Show {
        /// Of one customer
        customer: Option<String>,
        #[command(flatten)]
        to: ReplicaArgs,
    },
    /// Hits over the whole fleet by customer, set and rule
    Hits {
        /// Of one customer
        customer: Option<String>,
        #[command(flatten)]
        to: ReplicaArgs,
    },
}

/// Reads a message in text form.
pub fn read<M: prost::Message + Default>(message: &str, path: &Path) -> Result<M, RulesError> {
    let file = path.display().to_string();
    let source = std::fs::read_to_string(path).map_err(|source| RulesError::File {
        file: file.clone(),
        source,
    })?;
    text::parse(message, &source).map_err(|e| RulesError::Form {
        file,
        line: e.line,
        what: e.what,
    })
}

fn read_set(path: &Path) -> Result<wire::RuleSet, RulesError> {
    let set: wire::RuleSet = read(MESSAGE, path)?;
    match rule_set_error(&set) {
        None => Ok(set),
        Some(what) => Err(RulesError::Wrong {
            file: path.display().to_string(),
            what,
        }),
    }
}

/// Runs it.
pub fn run(command: &Command) -> Result<(), Failure> {
    match command {
        Command::Apply { file, force, to } => {
            let set = read_set(file)?;
            let what = Some(wire::propose::Proposed::Rules(set));
            propose(
                to,
                wire::Propose {
                    proposed: what,
                    force: *force,
                },
            )
        }
        Command::Check { file, to } => check(&read_set(file)?, to),
        Command::Wait { customer, to } => {
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
                customer: customer.clone(),
                ..wire::Verdict::default()
            };
            wait(&mut client, to, &request, Some(&verdict), 0)
        }
        Command::Show { customer, to } => {
            let request = read_request(ReadKind::Rules, customer.as_deref().unwrap_or(""));
            for set in to.client()?.read(&request, to.timeout())?.rules {
                print!("{}", text::print(MESSAGE, &set).unwrap_or_default());
                println!();
            }
            Ok(())
        }
        Command::Hits { customer, to } => {
            let request = read_request(ReadKind::Hits, customer.as_deref().unwrap_or(""));
            for h in to.client()?.read(&request, to.timeout())?.hits {
                println!("{} {} {} {}", h.customer, h.version, h.rule, h.count);
            }
            Ok(())
        }
    }
}

fn read_request(kind: ReadKind, customer: &str) -> wire::ReadRequest {
    wire::ReadRequest {
        kind: kind as i32,
        customer: customer.into(),
        ..wire::ReadRequest::default()
    }
}

fn check(set: &wire::RuleSet, to: &ReplicaArgs) -> Result<(), Failure> {
    let request = wire::ReadRequest {
        rule_set: Some(set.clone()),
        ..read_request(ReadKind::Try, &set.customer)
    };
    let tried = to
        .client()?
        .read(&request, to.timeout())?
        .dry_run
        .unwrap_or_default();
    println!(
        "{}: {} of {} calls of the last minutes would be denied",
        set.customer, tried.denied, tried.calls
    );
    tried
        .by_rule
        .iter()
        .for_each(|line| println!("  {:<24} {}", line.rule, line.count));
    if tried.locks_out {
        println!("it would lock the customer out: `apply` wants --force");
    }
    Ok(())
}

/// Proposes and waits for what comes of it.
pub fn propose(to: &ReplicaArgs, propose: wire::Propose) -> Result<(), Failure> {
    let mut client = to.client()?;
    let proposal = client
        .submit(CommandKind::Propose(propose), to.timeout())?
        .id;
    let request = wire::ReadRequest {
        proposal,
        ..read_request(ReadKind::Verdict, "")
    };
    wait(&mut client, to, &request, None, proposal)
}

fn wait(
    client: &mut CoordinatorClient,
    to: &ReplicaArgs,
    request: &wire::ReadRequest,
    known: Option<&wire::Verdict>,
    proposal: u64,
) -> Result<(), Failure> {
    let until = Instant::now() + Duration::from_secs(to.wait);
    loop {
        let mut answer = client.read(request, to.timeout())?;
        answer.verdict = answer.verdict.or_else(|| known.cloned());
        let late = Instant::now() >= until;
        match progress(&answer) {
            ProposalProgress::Rejected(breaks) => {
                return Err(RulesError::Rejected { breaks }.into())
            }
            ProposalProgress::Admitted => {
                println!("admitted");
                return Ok(());
            }
            ProposalProgress::InForce { version, unknown } => {
                println!("version {version} is in force");
                if !unknown.is_empty() {
                    println!(
                        "but for {} gateways that are cut off and go by what they last heard: {}",
                        unknown.len(),
                        unknown.join(", ")
                    );
                }
                return Ok(());
            }
            ProposalProgress::Superseded { version, by } => {
                println!("version {version} was followed by version {by} before it was in force");
                return Ok(());
            }
            ProposalProgress::Pending if late => {
                return Err(RulesError::NotJudged {
                    proposal,
                    seconds: to.wait,
                }
                .into())
            }
            ProposalProgress::Unacknowledged { version, gateways } if late => {
                let missing = gateways;
                return Err(RulesError::NotInForce {
                    version,
                    seconds: to.wait,
                    missing,
                }
                .into());
            }
            ProposalProgress::Pending | ProposalProgress::Unacknowledged { .. } => {
                std::thread::sleep(AGAIN)
            }
        }
    }
}
