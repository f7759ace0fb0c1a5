//! The request to the notice board (service discovery) and the events read from it. The event files
//! are written by hand; `UPDATE_FIXTURES` does not rewrite them.

use molelug::api::{CellId, WorkerId, WorkerStatus, ZoneId};
use molelug::discovery::{
    AppliedUpdate, Endpoint, EndpointList, ServerSentEvent, WatchEvent, WatchStream,
};
use molelug::names::Names;
use molelug::net::Buffer;

use crate::fixtures::check_lines;
use crate::hex::hex_line;

const SNAPSHOT: &str = include_str!("../fixtures/wire/board_snapshot.json");
const DELTA: &str = include_str!("../fixtures/wire/board_delta.json");

fn names() -> Names {
    Names {
        zones: vec!["east".into(), "west".into()],
        ..Names::default()
    }
}

/// Parses the stream of a board that sends `json` as a single event.
fn events(id: u64, json: &str) -> Vec<ServerSentEvent> {
    let data: String = json.lines().map(|line| format!("data: {line}\n")).collect();
    let stream = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\nid: {id}\n{data}\n"
    );
    let (mut watch, mut input, mut events) =
        (WatchStream::default(), Buffer::default(), Vec::new());
    input.append(stream.as_bytes());
    watch
        .read_events(&mut input, &mut events)
        .expect("the stream can be read");
    events
}

fn watch_event(id: u64, json: &str) -> WatchEvent {
    let events = events(id, json);
    assert_eq!((events.len(), events[0].id), (1, Some(id)));
    WatchEvent::parse(&events[0].data, &names()).expect("the notice can be read")
}

#[test]
fn board_request_matches_its_recorded_bytes() {
    let request = WatchStream::request("192.0.2.7:8080".parse().expect("an address"), 41);
    check_lines("wire/board_request.txt", &[hex_line("request", &request)]);
}

#[test]
fn board_snapshot_is_read_field_by_field() {
    let expected = WatchEvent {
        revision: 41,
        snapshot: true,
        endpoints: vec![
            Endpoint {
                name: "s-00c41f7a".into(),
                address: "10.1.0.9:9090".parse().expect("an address"),
                zone: ZoneId(1),
                cell: CellId(2),
                status: WorkerStatus::Ready,
                capacity: 4.5,
                started_at: Some(12_500),
            },
            Endpoint {
                name: "plain".into(),
                address: "[2001:db8::7]:9090".parse().expect("an address"),
                zone: ZoneId(255),
                cell: CellId(0),
                status: WorkerStatus::Draining,
                capacity: 1.0,
                started_at: None,
            },
        ],
    };
    assert_eq!(watch_event(41, SNAPSHOT), expected);
}

#[test]
fn board_delta_is_read_field_by_field() {
    let expected = WatchEvent {
        revision: 42,
        snapshot: false,
        endpoints: vec![Endpoint {
            name: "s-00c41f7a".into(),
            address: "10.1.0.10:9091".parse().expect("an address"),
            zone: ZoneId(0),
            cell: CellId(3),
            status: WorkerStatus::Removed,
            capacity: 0.5,
            started_at: None,
        }],
    };
    assert_eq!(watch_event(42, DELTA), expected);
}

#[test]
fn worker_ids_derive_from_names() {
    let mut endpoint_list = EndpointList::default();
    let AppliedUpdate {
        workers,
        address_changes,
    } = endpoint_list.apply(&watch_event(41, SNAPSHOT));
    let worker_ids: Vec<WorkerId> = workers.iter().map(|entry| entry.worker).collect();
    assert_eq!(worker_ids[0], WorkerId(0x00c4_1f7a));
    assert_eq!((worker_ids.len(), address_changes.len()), (2, 0));
    let number = format!("plain {:08x}", worker_ids[1].0);
    check_lines("wire/worker_numbers.txt", &[number]);
    assert_eq!(
        endpoint_list.apply(&watch_event(42, DELTA)).address_changes,
        [WorkerId(0x00c4_1f7a)],
        "the update changes the address"
    );
}
