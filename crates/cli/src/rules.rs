//! `chalkdeck rules`: customers' access rules.

use crate::errors::ProposalError;
use crate::failure::Failure;
use crate::proposal::{self, read_request};
use crate::replica_args::ReplicaArgs;
use chalkdeck_coordinator::state::rule_set_error;
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use chalkdeck_proto::text;
use clap::Subcommand;
use std::path::{Path, PathBuf};
use wire::read_request::Kind as ReadKind;

/// Full name of the message that describes a rule set.
const RULE_SET_MESSAGE: &str = "chalkdeck.keeper.v1.RuleSet";

/// Subcommands of `chalkdeck rules`.
#[derive(Subcommand)]
pub enum Command {
    /// Put a customer's rule set into force
    Apply {
        /// Protobuf text of chalkdeck.keeper.v1.RuleSet
        file: PathBuf,
        /// Also where it denies everything that the customer sends
        #[arg(long)]
        force: bool,
        #[command(flatten)]
        to: ReplicaArgs,
    },
    /// Show what a rule set would have done to the calls of the last minutes; changes nothing
    Check {
        /// Protobuf text of chalkdeck.keeper.v1.RuleSet
        file: PathBuf,
        #[command(flatten)]
        to: ReplicaArgs,
    },
    /// Wait until the rule set of a customer is in force
    Wait {
        /// The customer
        customer: String,
        #[command(flatten)]
        to: ReplicaArgs,
    },
    /// Print rule sets
    Show {
        /// Of one customer; of all if none is given
        customer: Option<String>,
        #[command(flatten)]
        to: ReplicaArgs,
    },
    /// Print hits over the whole fleet by customer, rule set version and rule
    Hits {
        /// Of one customer; of all if none is given
        customer: Option<String>,
        #[command(flatten)]
        to: ReplicaArgs,
    },
}

/// Runs a subcommand.
pub fn run(command: &Command) -> Result<(), Failure> {
    match command {
        Command::Apply { file, force, to } => apply(file, *force, to),
        Command::Check { file, to } => check(&read_rule_set(file)?, to),
        Command::Wait { customer, to } => proposal::wait_for_rule_set(to, customer),
        Command::Show { customer, to } => show(customer.as_deref().unwrap_or(""), to),
        Command::Hits { customer, to } => print_hits(customer.as_deref().unwrap_or(""), to),
    }
}

fn read_rule_set(path: &Path) -> Result<wire::RuleSet, ProposalError> {
    let rule_set: wire::RuleSet = proposal::read_text(RULE_SET_MESSAGE, path)?;
    match rule_set_error(&rule_set) {
        None => Ok(rule_set),
        Some(what) => Err(ProposalError::Wrong {
            file: path.display().to_string(),
            what,
        }),
    }
}

fn apply(file: &Path, force: bool, to: &ReplicaArgs) -> Result<(), Failure> {
    let rule_set = read_rule_set(file)?;
    let propose = wire::Propose {
        proposed: Some(wire::propose::Proposed::Rules(rule_set)),
        force,
    };
    proposal::submit(to, propose)
}

fn check(rule_set: &wire::RuleSet, to: &ReplicaArgs) -> Result<(), Failure> {
    let request = wire::ReadRequest {
        rule_set: Some(rule_set.clone()),
        ..read_request(ReadKind::Try, &rule_set.customer)
    };
    let response = to.client()?.read(&request, to.timeout())?;
    let dry_run = response.dry_run.unwrap_or_default();
    println!(
        "{}: {} of {} calls of the last minutes would be denied",
        rule_set.customer, dry_run.denied, dry_run.calls
    );
    for line in &dry_run.by_rule {
        println!("  {:<24} {}", line.rule, line.count);
    }
    if dry_run.locks_out {
        println!("it would lock the customer out: `apply` wants --force");
    }
    Ok(())
}

fn show(customer: &str, to: &ReplicaArgs) -> Result<(), Failure> {
    let request = read_request(ReadKind::Rules, customer);
    for rule_set in to.client()?.read(&request, to.timeout())?.rules {
        print!(
            "{}",
            text::print(RULE_SET_MESSAGE, &rule_set).unwrap_or_default()
        );
        println!();
    }
    Ok(())
}

fn print_hits(customer: &str, to: &ReplicaArgs) -> Result<(), Failure> {
    let request = read_request(ReadKind::Hits, customer);
    for line in to.client()?.read(&request, to.timeout())?.hits {
        println!(
            "{} {} {} {}",
            line.customer, line.version, line.rule, line.count
        );
    }
    Ok(())
}
