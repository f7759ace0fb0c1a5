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
            let instance_id = wire::instance(&body, index)?;
            let fields = instances
                .get(&instance_id)
                .map_or(&[][..], |instance| &instance.fields);
            match wire::message(&body, count, index, fields)? {
                Message::Start(seed, settings, fields) => {
                    instances.insert(
                        instance_id,
                        Instance {
                            policy: Policy::new(*settings, seed, now),
                            fields,
                        },
                    );
                }
                Message::Kill => {
                    instances.remove(&instance_id);
                }
                Message::Event(event) => {
                    if let Some(instance) = instances.get_mut(&instance_id) {
                        // Settles after each event, as in a gateway that is not under load.
                        instance.policy.handle_event(now, event, &mut actions);
                        instance.policy.append_actions(now, &mut actions);
                        // Discards the evidence changes, which are only for the log.
                        while instance.policy.next_evidence_change().is_some() {}
                    }
                }
                Message::Ignored => {}
            }
            for action in actions.drain(..) {
                reply.push(instance_id, &action);
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
