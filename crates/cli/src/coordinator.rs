//! `chalkdeck coordinator`: runs a replica of the fleet's coordinator, shows the status of all replicas, and overrides sites.

use crate::failure::Failure;
use crate::replica_args::ReplicaArgs;
use chalkdeck_coordinator::protocol::{wire, CommandKind, ReadKind, ReadRequest, ReadResponse};
use chalkdeck_coordinator::replica::StartMode;
use chalkdeck_coordinator::server::ReplicaServer;
use chalkdeck_coordinator::settings::Settings;
use chalkdeck_grpc_gateway::logs;
use chalkdeck_net::signals::Signals;
use chalkdeck_testbed::common::process::exit_with_parent;
use chalkdeck_time::TimeDelta;
use clap::Subcommand;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The timeout of a status request to one replica.
const STATUS_TIMEOUT: TimeDelta = TimeDelta::from_secs(2);

/// Subcommands of `chalkdeck coordinator`.
#[derive(Subcommand)]
pub enum Command {
    /// Run a replica
    Run {
        /// Settings file, protobuf text of chalkdeck.keeper.v1.Settings
        config: PathBuf,
        /// Start a new cluster: the folders of all replicas are empty because they are new, not because data was lost
        #[arg(long)]
        first: bool,
        /// End when the parent process ends
        #[arg(long, hide = true)]
        with_parent: bool,
    },
    /// Check settings without starting a replica
    Check {
        /// Settings file, protobuf text of chalkdeck.keeper.v1.Settings
        config: PathBuf,
    },
    /// Show the leader, the sessions of gateways, and the elections with their leaders
    Status(ReplicaArgs),
    /// Override the state of a site at every gateway of the fleet, including those that are down now
    #[command(alias = "word")]
    OverrideSite {
        /// The zone, as the endpoint list names it
        site: String,
        /// drain, hold or let-back
        action: String,
        #[command(flatten)]
        replicas: ReplicaArgs,
    },
}

/// Runs a subcommand.
pub fn run(command: &Command) -> Result<(), Failure> {
    match command {
        Command::Run {
            config,
            first,
            with_parent,
        } => {
            let start_mode = if *first {
                StartMode::Bootstrap
            } else {
                StartMode::Join
            };
            run_replica(config, start_mode, *with_parent)
        }
        Command::Check { config } => {
            Settings::load(config)?;
            println!("{}: ok", config.display());
            Ok(())
        }
        Command::Status(replicas) => print_status(replicas),
        Command::OverrideSite {
            site,
            action,
            replicas,
        } => override_site(site, action, replicas),
    }
}

fn run_replica(config: &Path, start_mode: StartMode, with_parent: bool) -> Result<(), Failure> {
    let settings = Settings::load(config)?;
    logs::start("info", false);
    if with_parent {
        exit_with_parent();
    }
    let signals = Signals::install()?;
    let server = ReplicaServer::start(&settings, start_mode)?;
    let admin = server
        .admin_address()
        .map_or("-".to_string(), |address| address.to_string());
    println!("ready grpc={} admin={admin}", server.listen_address());
    Ok(server.run(&signals)?)
}

fn override_site(site: &str, action: &str, replicas: &ReplicaArgs) -> Result<(), Failure> {
    let request = wire::OverrideSite {
        site: site.to_string(),
        action: action.to_string(),
    };
    replicas
        .client()?
        .submit(CommandKind::OverrideSite(request), replicas.timeout())?;
    println!(
        "{action} {site}: taken; each gateway receives it over its session, or at its next start"
    );
    Ok(())
}

/// Prints a line for each replica, and then the state of the most up-to-date one.
fn print_status(replicas: &ReplicaArgs) -> Result<(), Failure> {
    let mut client = replicas.client()?;
    let request = ReadRequest {
        kind: ReadKind::Status as i32,
        ..ReadRequest::default()
    };
    let recency = |response: &ReadResponse| (response.has_quorum, response.version);
    let mut latest: Option<ReadResponse> = None;
    for (index, address) in replicas.replicas.iter().enumerate() {
        let Some(response) = client.read_replica(index, &request, STATUS_TIMEOUT)? else {
            println!("{address}  no answer");
            continue;
        };
        print_replica(*address, &response);
        if latest
            .as_ref()
            .is_none_or(|latest| recency(latest) < recency(&response))
        {
            latest = Some(response);
        }
    }
    if let Some(response) = latest {
        print_state(&response);
    }
    Ok(())
}

fn print_replica(address: SocketAddr, response: &ReadResponse) {
    let state = if response.has_quorum {
        "agrees"
    } else {
        "NO MAJORITY: nothing is agreed on"
    };
    let leader = if response.leader.is_empty() {
        "nobody"
    } else {
        &response.leader
    };
    println!(
        "{address}  {state}, configuration {}, version {}, leader {leader}",
        response.configuration, response.version
    );
}

/// Prints sessions, departed gateways, elections (as `duty`) and retired versions that were called again.
fn print_state(response: &ReadResponse) {
    println!(
        "{} sessions, {} gateways cut off",
        response.sessions.len(),
        response.departed.len()
    );
    for session in &response.sessions {
        println!(
            "  {:<20} {:<12} session {} applies {}",
            session.gateway, session.site, session.id, session.applied_version
        );
    }
    for departed in &response.departed {
        let seconds_ago = response.time_ms.saturating_sub(departed.ended_ms) / 1_000;
        println!(
            "  {:<20} cut off {seconds_ago} s ago, applied {}",
            departed.gateway, departed.applied_version
        );
    }
    for election in &response.elections {
        let leader = leader_name(response, election.leader);
        println!(
            "duty {:<16} {leader}, token {}",
            election.name, election.token
        );
    }
    for version in &response.returned_versions {
        println!("retired and called again: {version}");
    }
}

/// The gateway whose session leads an election. Without a quorum, sessions cannot be renewed, so a leader has stepped down or will do
/// so when its lease expires.
fn leader_name(response: &ReadResponse, session: u64) -> &str {
    if !response.has_quorum {
        return "not held for sure";
    }
    let leader = response.sessions.iter().find(|s| s.id == session);
    leader.map_or("nobody", |session| &session.gateway)
}
