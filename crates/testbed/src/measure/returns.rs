//! Callers that ask for more than their quota and come back exactly when they were told to: how many are served then, and how
//! evenly customers fare. Over RESP, through one gateway.

use crate::common::process::Program;
use crate::rig::demo;
use crate::rig::fleet::{any_port, Fleet};
use anyhow::{bail, Context};
use clap::Args;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

#[derive(Args)]
pub struct ReturnsArgs {
    #[arg(long, default_value_t = 12.0)]
    pub seconds: f64,
    /// Callers of each of eight customers
    #[arg(long, default_value_t = 4)]
    pub callers: usize,
    /// Asks a second of each caller while it is granted
    #[arg(long, default_value_t = 40.0)]
    pub rate: f64,
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
}

/// Of the demo's customers, by plan.
const CUSTOMERS: [&str; 8] = [
    "seed-0",
    "seed-1",
    "seed-2",
    "seed-3",
    "harvest-0",
    "harvest-1",
    "harvest-2",
    "harvest-3",
];

#[derive(Default, Clone, Copy)]
struct Seen {
    asked: u64,
    granted: u64,
    returns: u64,
    granted_on_return: u64,
}

/// One answer to `CHALK.TAKE`.
enum Answer {
    Ticket(String),
    Back(Duration),
}

struct Caller {
    reader: BufReader<TcpStream>,
    customer: &'static str,
}

impl Caller {
    fn new(address: SocketAddr, customer: &'static str) -> anyhow::Result<Caller> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        Ok(Caller {
            reader: BufReader::new(stream),
            customer,
        })
    }
    fn line(&mut self) -> anyhow::Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            bail!("the gateway closed the connection");
        }
        Ok(line.trim_end().to_string())
    }
    fn take(&mut self) -> anyhow::Result<Answer> {
        let ask = format!("CHALK.TAKE {}\r\n", self.customer);
        self.reader.get_mut().write_all(ask.as_bytes())?;
        let head = self.line()?;
        if head != "*3" {
            bail!("unexpected answer: {head}");
        }
        let granted = self.line()? == ":1";
        let second = self.line()?;
        let ticket = if granted { self.line()? } else { second };
        let last = self.line()?;
        if granted {
            return Ok(Answer::Ticket(ticket));
        }
        let ms = last
            .trim_start_matches(':')
            .parse()
            .context("expected milliseconds")?;
        Ok(Answer::Back(Duration::from_millis(ms)))
    }
    fn give(&mut self, ticket: &str) -> anyhow::Result<()> {
        self.reader
            .get_mut()
            .write_all(format!("CHALK.GIVE {ticket}\r\n").as_bytes())?;
        self.line().map(drop)
    }

    fn run(mut self, seconds: f64, pause: Duration) -> anyhow::Result<Seen> {
        let end = Instant::now() + Duration::from_secs_f64(seconds);
        let (mut seen, mut returning) = (Seen::default(), false);
        while Instant::now() < end {
            seen.asked += 1;
            seen.returns += u64::from(returning);
            match self.take()? {
                Answer::Ticket(ticket) => {
                    seen.granted += 1;
                    seen.granted_on_return += u64::from(returning);
                    returning = false;
                    self.give(&ticket)?;
                    std::thread::sleep(pause);
                }
                Answer::Back(back) => {
                    returning = true;
                    std::thread::sleep(back);
                }
            }
        }
        Ok(seen)
    }
}

/// Runs all callers and prints what became of them.
pub fn run(program: Program, args: &ReturnsArgs) -> anyhow::Result<()> {
    let mut day = demo::day()?;
    day.gateways = 1;
    let fleet = Fleet::start(program, day, &args.dir, any_port(), None)?;
    let address = fleet
        .gateway_process(0)
        .context("expected a gateway")?
        .address("resp")?;
    let pause = Duration::from_secs_f64(1.0 / args.rate);
    let mut by_customer = Vec::new();
    let threads: Vec<_> = CUSTOMERS
        .iter()
        .flat_map(|customer| (0..args.callers).map(move |_| *customer))
        .map(|customer| {
            let caller = Caller::new(address, customer)?;
            let seconds = args.seconds;
            Ok((
                customer,
                std::thread::spawn(move || caller.run(seconds, pause).map_err(|e| e.to_string())),
            ))
        })
        .collect::<anyhow::Result<_>>()?;
    for (customer, thread) in threads {
        let seen = thread
            .join()
            .map_err(|_| anyhow::anyhow!("a caller panicked"))?;
        by_customer.push((customer, seen.map_err(|e| anyhow::anyhow!(e))?));
    }
    let sum = |of: fn(&Seen) -> u64| by_customer.iter().map(|c| of(&c.1)).sum::<u64>();
    println!(
        "{} callers, each {} times a second, {} s: {} of {} asks granted; of {} that came back when told {} were granted ({:.3})",
        by_customer.len(),
        args.rate,
        args.seconds,
        sum(|s| s.granted),
        sum(|s| s.asked),
        sum(|s| s.returns),
        sum(|s| s.granted_on_return),
        sum(|s| s.granted_on_return) as f64 / sum(|s| s.returns).max(1) as f64
    );
    for plan in ["seed", "harvest"] {
        let of = |name: &str| {
            by_customer
                .iter()
                .filter(|c| c.0 == name)
                .map(|c| c.1.granted)
                .sum::<u64>() as f64
        };
        let shares: Vec<f64> = CUSTOMERS
            .iter()
            .filter(|c| c.starts_with(plan))
            .map(|c| of(c))
            .collect();
        let squares: f64 = shares.iter().map(|s| s * s).sum();
        let jain = shares.iter().sum::<f64>().powi(2) / (shares.len() as f64 * squares.max(1e-9));
        println!(
            "  {plan}: granted a second and customer {:.1}, Jain's index {jain:.4}",
            shares.iter().sum::<f64>() / shares.len() as f64 / args.seconds
        );
    }
    Ok(())
}
