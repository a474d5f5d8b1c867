//! `chalkdeck contract`: proposes, subscribes to and retires versions of services, and shows which customers use them.

use crate::errors::ProposedContractError;
use crate::failure::Failure;
use crate::proposal;
use crate::replica_args::ReplicaArgs;
use chalkdeck_coordinator::registrar::contract_version;
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use clap::{Args, Subcommand};
use prost::Message;
use std::path::{Path, PathBuf};
use wire::command::Kind as CommandKind;
use wire::read_request::Kind as ReadKind;

/// Full name of the message that describes a contract.
const CONTRACT_MESSAGE: &str = "chalkdeck.keeper.v1.Contract";

/// Subcommands of `chalkdeck contract`.
#[derive(Subcommand)]
pub enum Command {
    /// Propose a version; it is admitted if it is compatible with all versions in use
    Propose {
        /// Protobuf text of chalkdeck.keeper.v1.Contract: service, version and the promises of each method
        file: PathBuf,
        /// The schema, a .proto file; it replaces descriptors in the contract file
        #[arg(long)]
        proto: Option<PathBuf>,
        /// Root folder of the schema's imports, may be repeated; the schema's own folder if omitted
        #[arg(long)]
        include: Vec<PathBuf>,
        #[command(flatten)]
        replicas: ReplicaArgs,
    },
    /// Declare that a customer uses a version, whether or not it makes calls at present
    Subscribe(SubscribeArgs),
    /// Declare that a version is no longer in use, even if customers have called it until now
    Retire {
        /// The service, with its package
        service: String,
        /// The version
        version: String,
        #[command(flatten)]
        replicas: ReplicaArgs,
    },
    /// Show the versions of services, and which customers use them
    Spoken {
        /// The service, with its package; all services if omitted
        service: Option<String>,
        #[command(flatten)]
        replicas: ReplicaArgs,
    },
}

/// Arguments of `chalkdeck contract subscribe`.
#[derive(Args)]
pub struct SubscribeArgs {
    /// The customer
    customer: String,
    /// The service, with its package
    service: String,
    /// The version
    version: String,
    /// How long the customer retries a call, in milliseconds
    #[arg(long, default_value_t = 0)]
    repeats_ms: u64,
    /// Cancel the subscription
    #[arg(long)]
    gone: bool,
    #[command(flatten)]
    replicas: ReplicaArgs,
}

/// Runs a subcommand.
pub fn run(command: &Command) -> Result<(), Failure> {
    match command {
        Command::Propose {
            file,
            proto,
            include,
            replicas,
        } => propose(&read_contract(file, proto.as_deref(), include)?, replicas),
        Command::Subscribe(args) => subscribe(args),
        Command::Retire {
            service,
            version,
            replicas,
        } => retire(service, version, replicas),
        Command::Spoken { service, replicas } => {
            print_versions_in_use(service.as_deref().unwrap_or(""), replicas)
        }
    }
}

fn propose(contract: &wire::Contract, replicas: &ReplicaArgs) -> Result<(), Failure> {
    let propose = wire::Propose {
        proposed: Some(wire::propose::Proposed::Contract(contract.clone())),
        force: false,
    };
    proposal::submit(replicas, propose)
}

fn subscribe(args: &SubscribeArgs) -> Result<(), Failure> {
    let subscribe = wire::Subscribe {
        customer: args.customer.clone(),
        service: args.service.clone(),
        version: args.version.clone(),
        cancelled: args.gone,
        repeats_ms: args.repeats_ms,
    };
    let mut client = args.replicas.client()?;
    client.submit(CommandKind::Subscribe(subscribe), args.replicas.timeout())?;
    println!("taken");
    Ok(())
}

fn retire(service: &str, version: &str, replicas: &ReplicaArgs) -> Result<(), Failure> {
    let retire = wire::RetireVersion {
        service: service.to_string(),
        version: version.to_string(),
    };
    let mut client = replicas.client()?;
    client.submit(CommandKind::RetireVersion(retire), replicas.timeout())?;
    println!("retired; later calls are shown as 'retired and called again'");
    Ok(())
}

/// Reads a contract from a file and sets its descriptors to those of the schema, if one is given.
fn read_contract(
    path: &Path,
    schema: Option<&Path>,
    include: &[PathBuf],
) -> Result<wire::Contract, Failure> {
    let mut contract: wire::Contract = proposal::read_text(CONTRACT_MESSAGE, path)?;
    if let Some(schema) = schema {
        contract.descriptors = compile_schema(schema, include)?;
    }
    match contract_version(&contract) {
        Ok(_) => Ok(contract),
        Err(source) => Err(ProposedContractError::Wrong {
            file: path.display().to_string(),
            source,
        }
        .into()),
    }
}

/// Compiles a schema; returns the encoded descriptors of the schema and its imports.
fn compile_schema(schema: &Path, include: &[PathBuf]) -> Result<Vec<u8>, ProposedContractError> {
    let own_folder = [schema.parent().unwrap_or(Path::new(".")).to_path_buf()];
    let include = if include.is_empty() {
        &own_folder[..]
    } else {
        include
    };
    let compiled = protox::compile([schema], include);
    let descriptors = compiled.map_err(|error| ProposedContractError::Schema {
        file: schema.display().to_string(),
        what: error.to_string(),
    })?;
    Ok(descriptors.encode_to_vec())
}

fn print_versions_in_use(service: &str, replicas: &ReplicaArgs) -> Result<(), Failure> {
    let request = wire::ReadRequest {
        kind: ReadKind::Spoken as i32,
        service: service.into(),
        ..wire::ReadRequest::default()
    };
    let response = replicas.client()?.read(&request, replicas.timeout())?;
    for admitted in &response.contracts {
        let contract = admitted.contract.clone().unwrap_or_default();
        let state = if admitted.retired {
            "retired"
        } else {
            "admitted"
        };
        println!("{} {} {state}", contract.service, contract.version);
    }
    for version in &response.versions_in_use {
        for usage in &version.uses {
            let name = format!("{} {}", version.service, version.version);
            println!("{name} {}", describe_use(usage, response.time_ms));
        }
    }
    Ok(())
}

/// One line about a customer's use of a version: whether it subscribes, its number of calls and its last call.
fn describe_use(usage: &wire::VersionUse, now_ms: u64) -> String {
    let kind = if usage.declared { "subscribes" } else { "seen" };
    let last_call = if usage.last_ms > 0 {
        let seconds_ago = now_ms.saturating_sub(usage.last_ms) / 1_000;
        format!(", last {seconds_ago} s ago")
    } else {
        String::new()
    };
    format!(
        "{}: {kind}, {} calls{last_call}",
        usage.customer, usage.calls
    )
}
