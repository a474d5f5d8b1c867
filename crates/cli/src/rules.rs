//! `chalkdeck rules`: applies, checks and shows customers' access rules.

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
        /// Apply it even if it would deny all calls of the customer
        #[arg(long)]
        force: bool,
        #[command(flatten)]
        replicas: ReplicaArgs,
    },
    /// Show how many calls of the last minutes a rule set would have denied; changes nothing
    Check {
        /// Protobuf text of chalkdeck.keeper.v1.RuleSet
        file: PathBuf,
        #[command(flatten)]
        replicas: ReplicaArgs,
    },
    /// Wait until the rule set of a customer is in force
    Wait {
        /// The customer
        customer: String,
        #[command(flatten)]
        replicas: ReplicaArgs,
    },
    /// Print rule sets
    Show {
        /// The customer; all customers if omitted
        customer: Option<String>,
        #[command(flatten)]
        replicas: ReplicaArgs,
    },
    /// Print how many calls of the whole fleet matched each rule, by customer and rule set version
    Hits {
        /// The customer; all customers if omitted
        customer: Option<String>,
        #[command(flatten)]
        replicas: ReplicaArgs,
    },
}

/// Runs a subcommand.
pub fn run(command: &Command) -> Result<(), Failure> {
    match command {
        Command::Apply {
            file,
            force,
            replicas,
        } => apply(file, *force, replicas),
        Command::Check { file, replicas } => print_dry_run(&read_rule_set(file)?, replicas),
        Command::Wait { customer, replicas } => proposal::wait_for_rule_set(replicas, customer),
        Command::Show { customer, replicas } => {
            print_rule_sets(customer.as_deref().unwrap_or(""), replicas)
        }
        Command::Hits { customer, replicas } => {
            print_hits(customer.as_deref().unwrap_or(""), replicas)
        }
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

fn apply(file: &Path, force: bool, replicas: &ReplicaArgs) -> Result<(), Failure> {
    let rule_set = read_rule_set(file)?;
    let propose = wire::Propose {
        proposed: Some(wire::propose::Proposed::Rules(rule_set)),
        force,
    };
    proposal::submit(replicas, propose)
}

fn print_dry_run(rule_set: &wire::RuleSet, replicas: &ReplicaArgs) -> Result<(), Failure> {
    let request = wire::ReadRequest {
        rule_set: Some(rule_set.clone()),
        ..read_request(ReadKind::Try, &rule_set.customer)
    };
    let response = replicas.client()?.read(&request, replicas.timeout())?;
    let dry_run = response.dry_run.unwrap_or_default();
    println!(
        "{}: {} of {} calls of the last minutes would be denied",
        rule_set.customer, dry_run.denied, dry_run.calls
    );
    for denials in &dry_run.by_rule {
        println!("  {:<24} {}", denials.rule, denials.count);
    }
    if dry_run.locks_out {
        println!("it would lock the customer out: `apply` requires --force");
    }
    Ok(())
}

fn print_rule_sets(customer: &str, replicas: &ReplicaArgs) -> Result<(), Failure> {
    let request = read_request(ReadKind::Rules, customer);
    for rule_set in replicas.client()?.read(&request, replicas.timeout())?.rules {
        print!(
            "{}",
            text::print(RULE_SET_MESSAGE, &rule_set).unwrap_or_default()
        );
        println!();
    }
    Ok(())
}

fn print_hits(customer: &str, replicas: &ReplicaArgs) -> Result<(), Failure> {
    let request = read_request(ReadKind::Hits, customer);
    for hits in replicas.client()?.read(&request, replicas.timeout())?.hits {
        println!(
            "{} {} {} {}",
            hits.customer, hits.version, hits.rule, hits.count
        );
    }
    Ok(())
}
