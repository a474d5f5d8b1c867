//! `chalkdeck site`: states of sites as gateways see them, and operators' overrides.

use anyhow::{bail, Context};
use chalkdeck_grpc_gateway::sites::SitesStatus;
use chalkdeck_testbed::common::control;
use clap::{Args, Subcommand};
use std::fmt::Write;
use std::net::SocketAddr;

/// Gateways to ask or tell.
#[derive(Args)]
pub struct GatewayArgs {
    /// Admin ports, as ip:port
    #[arg(long, value_delimiter = ',', required = true)]
    pub admin: Vec<SocketAddr>,
}

/// Subcommands of `chalkdeck site`.
#[derive(Subcommand)]
pub enum Command {
    /// Show the states of sites and the evidence for them
    Status(GatewayArgs),
    /// Send nothing new to a site; its part goes to the others
    Drain(OverrideArgs),
    /// The same for a site in trouble: it stays out whatever it answers
    Hold(OverrideArgs),
    /// Let the site come back, step by step
    LetBack(OverrideArgs),
}

/// Arguments of an override.
#[derive(Args)]
pub struct OverrideArgs {
    /// The zone, as the endpoint list names it
    pub site: String,
    #[command(flatten)]
    pub to: GatewayArgs,
}

impl Command {
    fn gateways(&self) -> &GatewayArgs {
        match self {
            Command::Status(gateways) => gateways,
            Command::Drain(args) | Command::Hold(args) | Command::LetBack(args) => &args.to,
        }
    }

    /// The path on the admin port that carries out the subcommand.
    fn admin_path(&self) -> String {
        match self {
            Command::Status(_) => "/sites".to_string(),
            Command::Drain(args) => format!("/sites/drain/{}", args.site),
            Command::Hold(args) => format!("/sites/hold/{}", args.site),
            Command::LetBack(args) => format!("/sites/let-back/{}", args.site),
        }
    }
}

/// Runs a subcommand at every gateway, also after one of them failed. Errors: one did not take it.
pub fn run(command: &Command) -> anyhow::Result<()> {
    let path = command.admin_path();
    let gateways = &command.gateways().admin;
    let mut failed = 0;
    for admin in gateways {
        match request_status(*admin, &path) {
            Ok(status) => print!("{}", describe(*admin, &status)),
            Err(error) => {
                failed += 1;
                eprintln!("{admin}: {error:#}");
            }
        }
    }
    if failed > 0 {
        bail!("{failed} of {} gateways did not take it", gateways.len());
    }
    Ok(())
}

fn request_status(admin: SocketAddr, path: &str) -> anyhow::Result<SitesStatus> {
    let text = control::get(admin, path)?;
    serde_json::from_str(&text).context("expected what a gateway says of sites")
}

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
