//! Runs instances of the decision module for the simulation bench. Frames arrive on standard input
//! and replies leave on standard output.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

use molelug::settings::Field;
use molelug::Policy;
use wire::{Message, Reply, WireError};

struct Instance {
    policy: Policy,
    fields: Vec<Field>,
}

fn run() -> Result<(), WireError> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut instances: BTreeMap<u16, Instance> = BTreeMap::new();
    let (mut body, mut actions, mut reply) = (Vec::new(), Vec::new(), Reply::default());
    while let Some((count, now)) = wire::read_frame(&mut input, &mut body)? {
        for index in 0..count {
            let who = wire::instance(&body, index)?;
            let fields = instances.get(&who).map_or(&[][..], |i| &i.fields);
            match wire::message(&body, count, index, fields)? {
                Message::Enlist(seed, settings, fields) => {
                    instances.insert(
                        who,
                        Instance {
                            policy: Policy::new(*settings, seed, now),
                            fields,
                        },
                    );
                }
                Message::Killed => {
                    instances.remove(&who);
                }
                Message::Event(event) => {
                    if let Some(instance) = instances.get_mut(&who) {
                        // Settles after each event, as in a gateway that is not under load.
                        instance.policy.take(now, event, &mut actions);
                        instance.policy.settle(now, &mut actions);
                        // Discards the evidence changes, which are only for the log.
                        while instance.policy.next_evidence_change().is_some() {}
                    }
                }
                Message::Ignored => {}
            }
            for action in actions.drain(..) {
                reply.push(who, &action);
            }
        }
        reply.flush(&mut output)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("molelug-simhost: {e}");
            ExitCode::FAILURE
        }
    }
}
