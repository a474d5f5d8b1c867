//! `chalkdeck site`: shows the states of sites as gateways see them, and overrides them.

use anyhow::{bail, Context};
use chalkdeck_grpc_gateway::sites::SitesStatus;
use chalkdeck_testbed::common::control;
use clap::{Args, Subcommand};
use std::fmt::Write;
use std::net::SocketAddr;

/// Gateways that a subcommand sends its request to.
#[derive(Args)]
pub struct GatewayArgs {
    /// Admin addresses of the gateways, as ip:port
    #[arg(long, value_delimiter = ',', required = true)]
    pub admin: Vec<SocketAddr>,
}

/// Subcommands of `chalkdeck site`.
#[derive(Subcommand)]
pub enum Command {
    /// Show the states of sites and the evidence for them
    Status(GatewayArgs),
    /// Send no new requests to a site; its share goes to the other sites
    Drain(OverrideArgs),
    /// Take a faulty site out of service: as drain, and it stays out even if it responds well
    Hold(OverrideArgs),
    /// Return the site to service, step by step
    LetBack(OverrideArgs),
}

/// Arguments of an override.
#[derive(Args)]
pub struct OverrideArgs {
    /// The zone, as the endpoint list names it
    pub site: String,
    #[command(flatten)]
    pub gateways: GatewayArgs,
}

impl Command {
    fn gateways(&self) -> &GatewayArgs {
        match self {
            Command::Status(gateways) => gateways,
            Command::Drain(args) | Command::Hold(args) | Command::LetBack(args) => &args.gateways,
        }
    }

    /// The path of the subcommand's request on the admin port.
    fn admin_path(&self) -> String {
        match self {
            Command::Status(_) => "/sites".to_string(),
            Command::Drain(args) => format!("/sites/drain/{}", args.site),
            Command::Hold(args) => format!("/sites/hold/{}", args.site),
            Command::LetBack(args) => format!("/sites/let-back/{}", args.site),
        }
    }
}

/// Runs a subcommand at every gateway, also after one of them failed. Errors: the request failed at one or more of them.
pub fn run(command: &Command) -> anyhow::Result<()> {
    let path = command.admin_path();
    let addresses = &command.gateways().admin;
    let mut failure_count = 0;
    for admin in addresses {
        match send_request(*admin, &path) {
            Ok(status) => print!("{}", describe(*admin, &status)),
            Err(error) => {
                failure_count += 1;
                eprintln!("{admin}: {error:#}");
            }
        }
    }
    if failure_count > 0 {
        bail!("{failure_count} of {} gateways failed", addresses.len());
    }
    Ok(())
}

/// Sends a request to the admin port; its response is the status of the sites.
fn send_request(admin: SocketAddr, path: &str) -> anyhow::Result<SitesStatus> {
    let text = control::get(admin, path)?;
    serde_json::from_str(&text).context("the response is not a status of sites")
}

/// The status of the sites at one gateway as text. Its labels are those of the JSON under `/sites`: `room` is the learned capacity, `pace`
/// the part of it that a recovering site is given, and `places` is the most attempts in flight.
fn describe(admin: SocketAddr, status: &SitesStatus) -> String {
    let mut text = format!(
        "{admin}  in {}  lets in {:.0}% of the work offered\n",
        status.own_site,
        100.0 * status.admission_level
    );
    for site in &status.sites {
        let capacity = match site.capacity {
            None => "no bound met".to_string(),
            Some(capacity) => format!("room {capacity:.1} units/s"),
        };
        let ramp = if site.ramp_fraction < 1.0 {
            format!(", pace {:.0}%", 100.0 * site.ramp_fraction)
        } else {
            String::new()
        };
        // Writing to a String cannot fail.
        let _ = writeln!(
            text,
            "  {:<16} {:<18} {:>5.1}% of the load, {:.0} of {:.0} places taken, {capacity}{ramp}; for {:.1} s: {}",
            site.site,
            site.state,
            100.0 * site.share,
            site.in_flight,
            site.concurrency_limit,
            site.state_seconds,
            site.evidence
        );
    }
    text
}
