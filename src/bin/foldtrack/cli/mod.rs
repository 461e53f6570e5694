//! The commands. Exit codes: 0 done, 1 it could not be done, 2 the command or the site file is wrong, 3 no forwarder
//! runs on the state folder, 4 the order was refused.

mod demo;
mod emulate;
mod ends;
mod fleet;
mod journal;
mod keys;
mod load;
mod orders;
mod partner;
mod peers;
mod send;
mod show;

use crate::clock::Clock;
use crate::serve;
use clap::{Args, Parser, Subcommand};
use foldtrack_control::{Client, ClientError, ControlCommand, ControlResponse};
use foldtrack_site::{template::TEMPLATE, Site, CONTROL_SOCKET};
use std::fs::OpenOptions;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const FAILED: u8 = 1;
const WRONG: u8 = 2;
const NOT_RUNNING: u8 = 3;
const REFUSED: u8 = 4;

/// A forwarder of outbound messages: each delivered as its class allows, in order where asked, a payment never twice.
#[derive(Parser)]
#[command(
    name = "foldtrack",
    version,
    after_help = "Exit codes: 0 done, 1 could not be done, 2 the command or the \
site file is wrong,\n3 no forwarder runs on the state folder, 4 the order was refused."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a forwarder by a site file, in the foreground; SIGTERM or `stop` ends it
    Serve {
        /// The site file
        #[arg(long, default_value = "site.toml")]
        site: PathBuf,
        /// A rehearsal of a full disk: journal and ends go on as if the state folder could hold no more bytes than this
        /// file says; it is read again each time that room is wanted
        #[arg(long, value_name = "FILE")]
        disk_budget: Option<PathBuf>,
        /// A rehearsal: the wall clock counts as set by so many seconds, forward or back
        #[arg(
            long,
            value_name = "SECONDS",
            default_value_t = 0.0,
            allow_negative_numbers = true,
            hide = true
        )]
        clock_offset: f64,
        /// A rehearsal: every clock of the process runs so many times as fast
        #[arg(long, value_name = "FACTOR", default_value_t = 1.0, hide = true)]
        clock_rate: f64,
        /// Ends when its standard input does: with whoever has started it, however that ends
        #[arg(long, hide = true)]
        end_with_input: bool,
    },
    /// Tells everything that is wrong in a site file
    Check {
        /// The site file
        #[arg(default_value = "site.toml")]
        site: PathBuf,
    },
    /// Which files prove whom to which partner, and until when; no secret is shown
    Keys {
        /// The site file
        #[arg(default_value = "site.toml", env = "FOLDTRACK_SITE")]
        site: PathBuf,
    },
    /// Looks whether a partner can be reached as it is spoken to
    Partner(partner::Partner),
    /// Writes a commented site file to begin with
    Init {
        /// Where to; `-` for standard output
        #[arg(default_value = "site.toml")]
        file: PathBuf,
    },
    /// Figures of the whole
    Status(Asked),
    /// Partners, with what is held for them and how they answer
    Partners(Asked),
    /// Endpoints, with calls out, waits and the progress of drains
    Endpoints(Asked),
    /// What is held, by partner and key, the longest first
    Queues {
        /// Of one partner only
        #[arg(long)]
        partner: Option<String>,
        #[command(flatten)]
        asked: Asked,
    },
    /// Attempts that failed lately, and what was done about them
    Failures {
        /// Lines at most
        #[arg(long, default_value_t = 50)]
        most: u32,
        #[command(flatten)]
        asked: Asked,
    },
    /// One message's whole history
    Message {
        /// Its X-Request-Id
        id: String,
        #[command(flatten)]
        asked: Asked,
    },
    /// Sends nothing new to an endpoint; calls that are out may end
    Drain {
        /// The endpoint
        endpoint: String,
        /// Waits until no call is out any more
        #[arg(long)]
        wait: bool,
        #[command(flatten)]
        asked: Asked,
    },
    /// Calls a drained endpoint, or a paused partner, again
    Resume {
        /// The endpoint or partner
        name: String,
        /// A partner is meant, where an endpoint has the same name
        #[arg(long)]
        partner: bool,
        #[command(flatten)]
        asked: Asked,
    },
    /// Sends nothing new to a partner; messages for it are taken on and wait, up to their deadlines
    Pause {
        /// The partner
        partner: String,
        #[command(flatten)]
        asked: Asked,
    },
    /// Adds an endpoint to a partner
    Add {
        /// The partner
        partner: String,
        /// The new endpoint's name
        endpoint: String,
        /// Its address and port
        address: String,
        #[command(flatten)]
        asked: Asked,
    },
    /// Removes an endpoint
    Remove {
        /// The endpoint
        endpoint: String,
        #[command(flatten)]
        asked: Asked,
    },
    /// Hands in messages from JSON lines, and tells how they ended
    Send(send::Send),
    /// Writes how messages ended as JSON lines, and acknowledges them
    Ends(ends::Ends),
    /// Looks into the journal of a state folder, read-only
    Journal(journal::Journal),
    /// Shows the main job: a forwarder among failing partners, and the rules checked from their books
    Demo(demo::Demo),
    /// Messages at a stated rate to stand-in partners with stated failures, and what became of them
    #[command(subcommand)]
    Load(load::Load),
    /// Who hands messages in, by address, with what is refused and blocked
    Clients {
        /// Lines at most
        #[arg(long, default_value_t = 50)]
        most: u32,
        #[command(flatten)]
        asked: Asked,
    },
    /// Nobody of an address or network is let in for a while
    Block {
        /// An address, or a network as 192.0.2.0/24
        network: String,
        /// For so long: 10m, 2h
        #[arg(long = "for", default_value = "10m", value_parser = humantime::parse_duration)]
        span: std::time::Duration,
        #[command(flatten)]
        asked: Asked,
    },
    /// Ends a block
    Unblock {
        /// As it was blocked
        network: String,
        #[command(flatten)]
        asked: Asked,
    },
    /// Several forwarders as processes, with faults between them
    #[command(subcommand)]
    Fleet(fleet::Fleet),
    /// Plays a fleet in simulated time: the program's own decisions and plain ones, on the same seeds
    Emulate(emulate::Emulate),
    /// The other forwarders of the site, and how they stand
    Peers(Asked),
    /// What was ordered on the site
    #[command(subcommand)]
    State(peers::State),
    /// Ends the forwarder; what it holds is taken up at its next start
    Stop(Asked),
}

/// Which forwarder is asked, and how it is shown.
#[derive(Args, Clone)]
struct Asked {
    /// The site file of the forwarder
    #[arg(long, default_value = "site.toml", env = "FOLDTRACK_SITE")]
    site: PathBuf,
    /// Its state folder, instead of the one that the site file names
    #[arg(long, env = "FOLDTRACK_STATE")]
    state: Option<PathBuf>,
    /// One JSON object, for programs
    #[arg(long)]
    json: bool,
}

/// Why a command ends without being done: its exit code, and what is told.
struct Failure(u8, String);

type Ended = Result<(), Failure>;

impl From<ClientError> for Failure {
    fn from(trouble: ClientError) -> Self {
        let code = match trouble {
            ClientError::NotRunning(_) => NOT_RUNNING,
            ClientError::Refused(_) => REFUSED,
            ClientError::Connection(_) => FAILED,
        };
        Failure(code, trouble.to_string())
    }
}

impl Asked {
    fn connect(&self) -> Result<Client, Failure> {
        let socket = match &self.state {
            Some(state) => state.join(CONTROL_SOCKET),
            None => load(&self.site)?.control_socket(),
        };
        Ok(Client::connect(&socket)?)
    }

    /// Asks once, and shows the answer.
    fn show(&self, ask: ControlCommand) -> Ended {
        let told = self.connect()?.request(ask)?;
        self.print(&told)
    }

    fn print(&self, told: &ControlResponse) -> Ended {
        if self.json {
            let text = serde_json::to_string(told).map_err(|e| Failure(FAILED, e.to_string()))?;
            return say(&format!("{text}\n"));
        }
        say(&show::text(told))
    }
}

/// Writes to standard output. Whoever reads it may have had enough: that is no failure.
fn say(text: &str) -> Ended {
    let mut out = std::io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(e) if e.kind() != std::io::ErrorKind::BrokenPipe => {
            Err(Failure(FAILED, format!("standard output: {e}")))
        }
        _ => Ok(()),
    }
}

fn load(path: &Path) -> Result<Site, Failure> {
    foldtrack_site::load(path).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        Failure(WRONG, lines.join("\n"))
    })
}

pub(crate) fn main() -> ExitCode {
    let ended = run(Cli::parse().command);
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure(code, text)) => {
            if !text.is_empty() {
                eprintln!("{text}");
            }
            ExitCode::from(code)
        }
    }
}

fn run(command: Command) -> Ended {
    match command {
        Command::Serve { site, disk_budget, clock_offset, clock_rate, end_with_input } => {
            Clock::simulate(clock_offset, clock_rate).map_err(|e| Failure(WRONG, e)).and_then(|()| {
                if end_with_input {
                    std::thread::spawn(|| {
                        // Whatever comes is nothing to it; that nothing comes any more is.
                        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
                        std::process::exit(i32::from(FAILED));
                    });
                }
                let ended = serve::serve(load(&site)?, disk_budget.as_deref());
                ended.map_err(|e| Failure(FAILED, format!("foldtrack: {e}")))
            })
        }
        Command::Check { site } => {
            let read = load(&site)?;
            let endpoints: usize = read.partners.iter().map(|p| p.endpoints.len()).sum();
            let (classes, partners) = (read.classes.len(), read.partners.len());
            let path = site.display();
            say(&format!("{path}: sound: {classes} classes, {partners} partners, {endpoints} endpoints\n"))
        }
        Command::Keys { site } => keys::keys(&site),
        Command::Partner(words) => partner::partner(&words),
        Command::Init { file } => init(&file),
        Command::Status(asked) => asked.show(ControlCommand::Status),
        Command::Partners(asked) => asked.show(ControlCommand::Partners),
        Command::Endpoints(asked) => asked.show(ControlCommand::Endpoints),
        Command::Queues { partner, asked } => asked.show(ControlCommand::Queues { partner, most: None }),
        Command::Failures { most, asked } => asked.show(ControlCommand::Failures { most: Some(most) }),
        Command::Message { id, asked } => asked.show(ControlCommand::Message { message: id }),
        Command::Drain { endpoint, wait, asked } => orders::drain(&asked, &endpoint, wait),
        Command::Resume { name, partner, asked } => orders::resume(&asked, &name, partner),
        Command::Pause { partner, asked } => orders::order(&asked, ControlCommand::Pause { partner }),
        Command::Add { partner, endpoint, address, asked } => {
            orders::order(&asked, ControlCommand::Add { partner, endpoint, address })
        }
        Command::Remove { endpoint, asked } => orders::order(&asked, ControlCommand::Remove { endpoint }),
        Command::Clients { most, asked } => asked.show(ControlCommand::Clients { most: Some(most) }),
        Command::Block { network, span, asked } => {
            orders::order(&asked, ControlCommand::Block { network, for_ms: span.as_millis() as u64 })
        }
        Command::Unblock { network, asked } => orders::order(&asked, ControlCommand::Unblock { network }),
        Command::Send(words) => send::send(&words),
        Command::Ends(words) => ends::ends(&words),
        Command::Journal(words) => journal::journal(&words),
        Command::Demo(words) => demo::demo(&words),
        Command::Load(words) => load::load(&words),
        Command::Fleet(words) => fleet::fleet(&words),
        Command::Emulate(words) => emulate::emulate(&words),
        Command::Peers(asked) => asked.show(ControlCommand::Peers),
        Command::State(words) => peers::state(&words),
        Command::Stop(asked) => orders::stop(&asked),
    }
}

fn init(path: &Path) -> Ended {
    if path == Path::new("-") {
        return say(TEMPLATE);
    }
    let shown = path.display();
    // A file that is there is somebody's work.
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .open(path)
        .map_err(|e| Failure(FAILED, format!("{shown}: {e}")))?;
    file.write_all(TEMPLATE.as_bytes()).map_err(|e| Failure(FAILED, format!("{shown}: {e}")))?;
    say(&format!("{shown} is written. Put your partners in, then:\n  foldtrack check {shown}\n  foldtrack serve --site {shown}\n"))
}
