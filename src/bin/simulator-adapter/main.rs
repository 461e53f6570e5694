//! Runs delivery schedulers for a simulator that talks a framed binary protocol on standard input and output.
#![warn(missing_docs)]

mod host;
mod wire;

use std::io::{BufReader, BufWriter, Write};
use std::process::ExitCode;

fn run() -> Result<(), wire::Malformed> {
    let mut input = BufReader::with_capacity(1 << 20, std::io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 20, std::io::stdout().lock());
    let mut host = host::Host::default();
    while let Some(batch) = wire::read_batch(&mut input)? {
        let reply = host.process(batch)?;
        output.write_all(&reply).and_then(|()| output.flush())?;
    }
    Ok(())
}

fn main() -> ExitCode {
    // A panic of a scheduler is reported to the simulator; the panic message on standard error remains.
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
