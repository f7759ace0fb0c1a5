//! The members' file of gossip as earlier processes wrote it.

use super::{read_members, write_members};
use crate::fixture;
use crate::membership::swim::Record;

const MEMBERS: &str = "gossip-members.json";

fn members() -> Vec<Record> {
    let member = |name: &str, address: &str, incarnation, seal: &[u8]| Record {
        name: name.to_owned(),
        address: address.parse().expect("an address"),
        incarnation,
        leaving: false,
        seal: seal.to_vec(),
    };
    vec![
        member("n1", "127.0.0.1:7946", 3, &[0xa5; 33]),
        member("n2", "[::1]:7946", 1 << 40, b"seal"),
    ]
}

#[test]
fn members_file_is_written_and_read_as_before() {
    let folder = std::env::temp_dir().join(format!("molelug-members-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("members");
    write_members(&file, members()).expect("it is written");
    let written = std::fs::read_to_string(&file).expect("text");
    std::fs::remove_dir_all(&folder).expect("it goes");
    fixture::assert_matches(MEMBERS, &written);
    assert_eq!(read_members(&fixture::path(MEMBERS)), members());
}
