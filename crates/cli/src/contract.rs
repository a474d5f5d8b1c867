//! `chalkdeck contract`: versions of services, who speaks them, and whether a new one breaks them.

use crate::coordinator::ReplicaArgs;
use crate::failure::Failure;
use crate::rules::{propose, read};
use chalkdeck_coordinator::registrar::contract_version;
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use clap::Subcommand;
use prost::Message;
use std::path::{Path, PathBuf};
use wire::command::Kind as CommandKind;
use wire::read_request::Kind as ReadKind;

const MESSAGE: &str = "chalkdeck.keeper.v1.Contract";

/// Why a version cannot be proposed.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ContractError {
    /// The schema does not compile.
    #[error("{file}: {what}")]
    #[diagnostic(
        code(chalkdeck::contract::schema),
        help("see the named file and line; --include names the folders that imports start at")
    )]
    Schema {
        /// Its path.
        file: String,
        /// What the compiler says.
        what: String,
    },
    /// The version is not sound by itself.
    #[error("{file}: {source}")]
    #[diagnostic(
        code(chalkdeck::contract::wrong),
        help("docs/contracts.md has each field; every method wants a promise")
    )]
    Wrong {
        /// Its path.
        file: String,
        /// What is wrong.
        source: chalkdeck_coordinator::registrar::ContractError,
    },
}

/// What is done.
#[derive(Subcommand)]
pub enum Command {
    /// Propose a version; it is admitted if it breaks none that is still spoken
    Propose {
        /// Protobuf text of chalkdeck.keeper.v1.Contract: service, version, promises of each method
        file: PathBuf,
        /// The schema; in place of descriptors in the file
        #[arg(long)]
        proto: Option<PathBuf>,
        /// Where imports of the schema start; its own folder if none is given
        #[arg(long)]
        include: Vec<PathBuf>,
        #[command(flatten)]
        to: ReplicaArgs,
    },
    /// Say that a customer speaks a version, whether or not it calls now
    Subscribe {
        /// The customer
        customer: String,
        /// The service, with its package
        service: String,
        /// The version
        version: String,
        /// How long it goes on repeating a call, in milliseconds
        #[arg(long, default_value_t = 0)]
        repeats_ms: u64,
        /// It no longer does
        #[arg(long)]
        gone: bool,
        #[command(flatten)]
        to: ReplicaArgs,
    },
    /// Say that a version counts as spoken no more, whoever called it until now
    Retire {
        /// The service, with its package
        service: String,
        /// The version
        version: String,
        #[command(flatten)]
        to: ReplicaArgs,
    },
    /// Versions of a service, and who speaks them
    Spoken {
        /// The service; all if none is given
        service: Option<String>,
        #[command(flatten)]
        to: ReplicaArgs,
    },
}

/// Runs it.
pub fn run(command: &Command) -> Result<(), Failure> {
    match command {
        Command::Propose {
            file,
            proto,
            include,
            to,
        } => {
            let contract = contract(file, proto.as_deref(), include)?;
            let what = Some(wire::propose::Proposed::Contract(contract));
            propose(
                to,
                wire::Propose {
                    proposed: what,
                    force: false,
                },
            )
        }
        Command::Subscribe {
            customer,
            service,
            version,
            repeats_ms,
            gone,
            to,
        } => {
            let subscribe = wire::Subscribe {
                customer: customer.clone(),
                service: service.clone(),
                version: version.clone(),
                cancelled: *gone,
                repeats_ms: *repeats_ms,
            };
            to.client()?
                .submit(CommandKind::Subscribe(subscribe), to.timeout())?;
            println!("taken");
            Ok(())
        }
        Command::Retire {
            service,
            version,
            to,
        } => {
            let retire = wire::RetireVersion {
                service: service.clone(),
                version: version.clone(),
            };
            to.client()?
                .submit(CommandKind::RetireVersion(retire), to.timeout())?;
            println!("retired; calls that still come are shown as 'retired and called again'");
            Ok(())
        }
        Command::Spoken { service, to } => spoken(service.as_deref().unwrap_or(""), to),
    }
}

fn contract(
    path: &Path,
    proto: Option<&Path>,
    include: &[PathBuf],
) -> Result<wire::Contract, Failure> {
    let mut contract: wire::Contract = read(MESSAGE, path)?;
    if let Some(proto) = proto {
        let own = [proto.parent().unwrap_or(Path::new(".")).to_path_buf()];
        let include = if include.is_empty() {
            &own[..]
        } else {
            include
        };
        let file = proto.display().to_string();
        let set = protox::compile([proto], include).map_err(|e| ContractError::Schema {
            file,
            what: e.to_string(),
        })?;
        contract.descriptors = set.encode_to_vec();
    }
    match contract_version(&contract) {
        Ok(_) => Ok(contract),
        Err(source) => Err(ContractError::Wrong {
            file: path.display().to_string(),
            source,
        }
        .into()),
    }
}

fn spoken(service: &str, to: &ReplicaArgs) -> Result<(), Failure> {
    let request = wire::ReadRequest {
        kind: ReadKind::Spoken as i32,
        service: service.into(),
        ..wire::ReadRequest::default()
    };
    let answer = to.client()?.read(&request, to.timeout())?;
    for admitted in &answer.contracts {
        let c = admitted.contract.clone().unwrap_or_default();
        let state = if admitted.retired {
            "retired"
        } else {
            "admitted"
        };
        println!("{} {} {state}", c.service, c.version);
    }
    for version in &answer.versions_in_use {
        for u in &version.uses {
            let word = if u.declared { "subscribes" } else { "seen" };
            let ago = answer.time_ms.saturating_sub(u.last_ms) / 1_000;
            let last = if u.last_ms > 0 {
                format!(", last {ago} s ago")
            } else {
                String::new()
            };
            println!(
                "{} {} {}: {word}, {} calls{last}",
                version.service, version.version, u.customer, u.calls
            );
        }
    }
    Ok(())
}
