//! Replays at any gateway of a group, while one of them is away and starts again. Each gateway is a
//! machine of its own, with a folder of its own; a file of identities is shared only if that is
//! drawn.

use std::io::Result;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use super::replays::Replay;
use super::{Draw, End, RackWorker, DEADLINE_MS};
use crate::fakes::gateway::{Gateway, GroupMember};
use crate::fakes::{now_s, secret, secret_text, Portal, PortalBehavior};

const GATEWAYS: usize = 3;
/// Calls of each phase: sound ones are sent to the gateways in turn.
const CALLS: u64 = 6;
/// The gateway that takes calls where nothing is shared.
const HOME: usize = 0;

/// Where gateways remember what they took.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Memory {
    OwnFile,
    OwnStore,
    SharedFile,
}

/// The result of one play.
pub(super) struct Played {
    pub(super) scenario: String,
    pub(super) violations: Vec<String>,
}

/// A group and the calls that it took.
struct Group<'a> {
    folder: &'a Path,
    operator: String,
    workers: Vec<RackWorker>,
    running: Vec<Option<Gateway>>,
    taken: Vec<Replay>,
    sent: u64,
    /// Sound calls that a gateway other than the home got first.
    misdirected: u64,
    violations: Vec<String>,
}

impl Group<'_> {
    fn start(&mut self, number: usize) -> Result<()> {
        let folder = self.folder.join(format!("machine-{number}"));
        std::fs::create_dir_all(&folder)?;
        let addresses: Vec<SocketAddr> = self.workers.iter().map(|w| w.address).collect();
        let member = GroupMember {
            number,
            size: GATEWAYS,
        };
        let name = format!("g{number}");
        let operator = &self.operator;
        self.running[number] = Some(Gateway::start_member(
            &name,
            &folder,
            &addresses,
            operator,
            DEADLINE_MS,
            member,
        )?);
        Ok(())
    }

    /// Sends sound calls to the running gateways in turn, as a front layer that spreads does. A
    /// call that is told to go elsewhere goes to its home next, if that runs.
    fn send_sound_calls(&mut self) {
        for _ in 0..CALLS {
            let number = self.sent;
            self.sent += 1;
            let call = Replay::sign(number, now_s());
            let running: Vec<&Gateway> = self.running.iter().flatten().collect();
            let mut status = call.send(running[number as usize % running.len()]);
            if status == 421 {
                self.misdirected += 1;
                status = match &self.running[HOME] {
                    Some(home) => call.send(home),
                    None => continue,
                };
            }
            if status == 202 {
                self.taken.push(call);
            } else {
                self.violations.push(format!("{} got {status}", call.id));
            }
        }
    }

    fn replay_everywhere(&mut self, when: &str) {
        for (number, gateway) in self.running.iter().enumerate() {
            for call in gateway.iter().flat_map(|_| &self.taken) {
                let status = gateway.as_ref().map_or(0, |gateway| call.send(gateway));
                if ![401, 409, 421, 503].contains(&status) {
                    let id = &call.id;
                    self.violations.push(format!(
                        "{when}: the replay of {id} got {status} at g{number}"
                    ));
                }
            }
        }
    }
}

pub(super) fn play(draw: &mut Draw, folder: &Path) -> Result<Played> {
    let memory = draw.one_of(&[Memory::OwnFile, Memory::OwnStore, Memory::SharedFile]);
    let end = draw.one_of(&End::ALL);
    let away = draw.below(GATEWAYS as u64) as usize;
    let portal = Portal::start(secret(1), PortalBehavior::Good)?;
    let shared: PathBuf = folder.join("identities");
    let settings = match memory {
        Memory::OwnFile => String::new(),
        Memory::OwnStore => "store = \"store\"\n".into(),
        Memory::SharedFile => format!("replay_file = {:?}\n", shared.display().to_string()),
    };
    let operator = format!(
        "[webhooks]\nlisten = \"127.0.0.1:0\"\n{settings}[[tenants]]\nname = \"clinic\"\n\
         portal = \"http://{}/in\"\nsecrets = [\"{}\"]\n",
        portal.address,
        secret_text(1)
    );
    let mut group = Group {
        folder,
        operator,
        workers: RackWorker::start_rack(2, Duration::from_millis(20))?,
        running: (0..GATEWAYS).map(|_| None).collect(),
        taken: Vec::new(),
        sent: 0,
        misdirected: 0,
        violations: Vec::new(),
    };
    for number in 0..GATEWAYS {
        group.start(number)?;
    }
    // The first start with a file refuses what was signed up to its own second.
    let first_s = now_s();
    super::wait_until(Duration::from_secs(2), || now_s() > first_s);
    group.send_sound_calls();
    super::wait_until(Duration::from_secs(10), || {
        portal.deliveries().len() >= group.taken.len()
    });
    group.replay_everywhere("all run");
    if let Some(mut gateway) = group.running[away].take() {
        end.apply(&mut gateway)?;
    }
    group.replay_everywhere("one is away");
    group.send_sound_calls();
    super::wait_until(Duration::from_secs(10), || {
        portal.deliveries().len() >= group.taken.len()
    });
    group.start(away)?;
    group.replay_everywhere("it is back");
    let Group {
        workers,
        running,
        taken,
        sent,
        misdirected,
        mut violations,
        ..
    } = group;
    for call in &taken {
        let runs = workers[0].memory().attempts.get(&call.body).copied();
        let told = portal.deliveries();
        let told = told.iter().filter(|d| d.call == call.id).count();
        if (runs, told) != (Some(1), 1) {
            violations.push(format!("{} ran {runs:?} times, told {told} times", call.id));
        }
    }
    for mut gateway in running.into_iter().flatten() {
        gateway.stop()?;
    }
    Ok(Played {
        scenario: format!("{memory:?}, g{away} {end:?}, {misdirected} of {sent} calls misdirected"),
        violations,
    })
}
