//! Notes of histories, one of each kind, as checkers read them: the JSON of `note` in each line.

use std::sync::Arc;

use molelug::council::member;
use molelug::duty::Owner;
use molelug::replication;
use molelug::tenancy::agreed;

use crate::pins::Pins;

#[test]
fn council_notes_are_written_as_before() {
    use member::Note;
    let duty: Arc<str> = "loads-3".into();
    let owner = Owner { name: "n2".into(), incarnation: 77 };
    let mut pins = Pins::of("history-council.txt");
    let agreed = |owner| Note::Agreed { index: 12, duty: duty.clone(), term: 5, owner };
    pins.json("agreed", &agreed(Some(owner)));
    pins.json("agreed without owner", &agreed(None));
    pins.json("restored", &Note::Restored { index: 256 });
    pins.json("began", &Note::Began { duty: duty.clone(), term: 5 });
    pins.json("ended", &Note::Ended { duty: duty.clone(), term: 6 });
    pins.json("acted", &Note::Acted { duty: duty.clone(), term: 5, number: 9 });
    pins.json("sent", &Note::Sent { duty: duty.clone(), term: 5, number: 10 });
    pins.json("accepted", &Note::Accepted { duty: duty.clone(), term: 5, owner: "n2".into(), number: 11 });
    let why = "term 4 is over".to_owned();
    pins.json("refused", &Note::Refused { duty: duty.clone(), term: 4, owner: "n1".into(), number: 3, why });
    pins.json("taken back", &Note::TakenBack { duty, term: 5, number: 12 });
    pins.json("leads", &Note::Leads { term: 8 });
    pins.json("follows", &Note::Follows);
    pins.json("retired", &Note::Retired { why: "its disk is an older one".into() });
    pins.finish();
}

#[test]
fn replication_notes_are_written_as_before() {
    use replication::history::{short, Note};
    let members = || vec!["n1".into(), "n2".into(), "n3".into()];
    let mut pins = Pins::of("history-replication.txt");
    pins.json("led", &Note::Led { shard: 3, epoch: 7, number: 41, chain: 900, members: members() });
    pins.json("rested", &Note::Rested { shard: 3, epoch: 7 });
    pins.json("promised", &Note::Promised { shard: 3, epoch: 7, number: 42, chain: 901, disks: 2 });
    pins.json("stored", &Note::Stored { shard: 3, epoch: 7, number: 43, chain: 902 });
    pins.json("installed", &Note::Installed { shard: 3, number: 44, chain: 903 });
    pins.json("damaged", &Note::Damaged { shard: 3, ranges: vec![0, 15] });
    pins.json("waits", &Note::Waits { shard: 3, members: members() });
    pins.json("mended", &Note::Mended { shard: 3, accepted: true });
    pins.json("declined", &Note::Declined { shard: 3, theirs: 6, ours: 7 });
    pins.json("recalled", &Note::Recalled { shard: 3 });
    pins.json("lost", &Note::Lost { shard: 4 });
    let chain: replication::Chain = std::array::from_fn(|at| at as u8);
    pins.line("digest cut to eight bytes", &short(&chain).to_string());
    pins.finish();
}

#[test]
fn tenancy_notes_are_written_as_before() {
    use agreed::history::{digest, Note};
    let adopted = |digest| Note::Adopted { tenant: "clinic".into(), version: 4, digest };
    let mut pins = Pins::of("history-tenancy.txt");
    pins.json("begun", &Note::Begun);
    pins.json("adopted", &adopted(Some(digest(b"a tenant"))));
    pins.json("adopted as removed", &adopted(None));
    pins.json("told", &Note::Told { tenant: "clinic".into(), version: 4 });
    pins.finish();
}
