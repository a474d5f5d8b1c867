//! `chalkdeck site`: what gateways say of sites, and an operator's words to them.

use anyhow::{bail, Context};
use chalkdeck_grpc_gateway::sites::SitesStatus;
use chalkdeck_testbed::parts::control;
use clap::{Args, Subcommand};
use std::net::SocketAddr;

/// Gateways that are spoken to.
#[derive(Args)]
pub struct Gateways {
    /// Admin ports, as ip:port
    #[arg(long, value_delimiter = ',', required = true)]
    pub admin: Vec<SocketAddr>,
}

/// What is asked or said.
#[derive(Subcommand)]
pub enum Word {
    /// States of sites with what they rest on
    Status(Gateways),
    /// Nothing new goes to the site; its part goes to the others
    Drain(Said),
    /// The same of a site in trouble: it stays out whatever it answers
    Hold(Said),
    /// The site may come back, step by step
    LetBack(Said),
}

/// A word on a site.
#[derive(Args)]
pub struct Said {
    /// The zone, as the server list names it
    pub site: String,
    #[command(flatten)]
    pub to: Gateways,
}

/// Says it to every gateway, whatever one of them answers. Errors: one did not take it.
pub fn run(word: &Word) -> anyhow::Result<()> {
    let (to, path) = match word {
        Word::Status(to) => (to, "/sites".to_string()),
        Word::Drain(said) => (&said.to, format!("/sites/drain/{}", said.site)),
        Word::Hold(said) => (&said.to, format!("/sites/hold/{}", said.site)),
        Word::LetBack(said) => (&said.to, format!("/sites/let-back/{}", said.site)),
    };
    let mut failed = 0;
    for admin in &to.admin {
        match ask(*admin, &path) {
            Ok(status) => print!("{}", show(*admin, &status)),
            Err(e) => {
                failed += 1;
                eprintln!("{admin}: {e:#}");
            }
        }
    }
    if failed > 0 {
        bail!("{failed} of {} gateways did not take it", to.admin.len());
    }
    Ok(())
}

fn ask(admin: SocketAddr, path: &str) -> anyhow::Result<SitesStatus> {
    let text = control::get(admin, path)?;
    serde_json::from_str(&text).context("expected what a gateway says of sites")
}

fn show(admin: SocketAddr, status: &SitesStatus) -> String {
    let mut out = format!(
        "{admin}  in {}  lets in {:.0}% of the work offered\n",
        status.own,
        100.0 * status.level
    );
    for s in &status.sites {
        let room = s.room.map_or("no bound met".to_string(), |r| {
            format!("room {r:.1} units/s")
        });
        let pace = if s.pace < 1.0 {
            format!(", pace {:.0}%", 100.0 * s.pace)
        } else {
            String::new()
        };
        out += &format!(
            "  {:<16} {:<18} {:>5.1}% of the load, {:.0} of {:.0} places taken, {room}{pace}; for {:.1} s: {}\n",
            s.site,
            s.state,
            100.0 * s.share,
            s.out,
            s.places,
            s.for_s,
            s.evidence
        );
    }
    out
}
