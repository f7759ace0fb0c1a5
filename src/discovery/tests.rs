//! Tests of stream decoding at arbitrary chunk boundaries, update parsing, heartbeats and reconnects.

use super::*;
use crate::api::{WorkerId, ZoneId};
use crate::names::Names;
use crate::net::Buffer;

pub(super) fn names() -> Names {
    Names {
        zones: vec!["east".into()],
        ..Names::default()
    }
}

pub(super) fn watch_event_json(status: &str) -> String {
    format!(
        "{{\"rev\":41,\"pool\":{{\"index\":7,\"snapshot\":false,\"endpoints\":[{{\"name\":\"s-00c41f7a\",\
         \"address\":\"10.1.0.9:9090\",\"zone\":\"east\",\"type\":\"std\",\"group\":2,\"status\":\"{status}\",\
         \"weight\":4,\"since_ms\":12}}]}}}}"
    )
}

#[test]
fn chunks_cut_anywhere_yield_the_event() {
    let text = format!(": hi\n\nid: 41\ndata: {}\n\n", watch_event_json("SERVING"));
    let (a, b) = text.split_at(17);
    let wire = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{a}\r\n{:x}\r\n{b}\r\n0\r\n\r\n",
        a.len(),
        b.len()
    );
    let mut stream = WatchStream::default();
    let mut input = Buffer::default();
    let mut events = Vec::new();
    for byte in wire.as_bytes() {
        input.append(&[*byte]);
        stream.read_events(&mut input, &mut events).unwrap();
    }
    assert!(stream.has_ended());
    assert_eq!((events.len(), events[0].id), (1, Some(41)));
    let update = WatchEvent::parse(&events[0].data, &names()).unwrap();
    let endpoint = &update.endpoints[0];
    assert_eq!(
        (
            update.revision,
            update.snapshot,
            endpoint.zone,
            endpoint.started_at
        ),
        (41, false, ZoneId(0), Some(12_000))
    );
    assert_eq!(
        EndpointList::default().id_of(&endpoint.name),
        WorkerId(0x00c4_1f7a),
        "the id depends on the name alone"
    );
}

#[test]
fn invalid_updates_and_heads_return_specific_errors() {
    let error_text = |text: &str| WatchEvent::parse(text, &names()).unwrap_err().to_string();
    assert_eq!(error_text("{\"rev\":1}"), "a notice lacks a usable 'pool'");
    assert!(error_text(&watch_event_json("ASLEEP")).ends_with("s-00c41f7a has the state 'ASLEEP'"));
    assert!(
        error_text(&watch_event_json("SERVING").replace("10.1.0.9:9090", "there"))
            .ends_with("the address 'there'")
    );
    assert!(error_text("{").starts_with("a notice is not JSON"));
    for head in ["HTTP/1.1 503 No\r\n\r\n", "nonsense\r\n\r\n"] {
        let mut stream = WatchStream::default();
        let mut input = Buffer::default();
        input.append(head.as_bytes());
        assert!(matches!(
            stream.read_events(&mut input, &mut Vec::new()),
            Err(DiscoveryError::Head(_))
        ));
    }
}

/// Returns a stream that has decoded a response head followed by `text`.
fn stream_of(text: &str) -> WatchStream {
    let mut stream = WatchStream::default();
    let mut input = Buffer::default();
    input.append(format!("HTTP/1.1 200 OK\r\n\r\n{text}").as_bytes());
    stream.read_events(&mut input, &mut Vec::new()).unwrap();
    stream
}

#[test]
fn only_a_complete_comment_outside_events_is_a_heartbeat() {
    let mut stream = stream_of(": \n\n");
    assert!(!stream.is_incomplete());
    assert!(stream.take_heartbeat());
    assert!(
        !stream.take_heartbeat(),
        "a heartbeat is returned only once"
    );
    for text in [
        ":",
        ": half",
        "id: 2\n: inside\n",
        "id: 2\ndata: {\n: x\n",
        "",
    ] {
        assert!(!stream_of(text).take_heartbeat(), "{text:?}");
    }
    for text in [":", "id: 2\n", "id: 2\ndata: x\n", "x"] {
        assert!(stream_of(text).is_incomplete(), "{text:?}");
    }
}

#[test]
fn reconnects_of_a_fleet_are_spread_and_back_off() {
    let pauses = |failed| (0..1_000).map(move |seed| reconnect_pause(seed, failed));
    for (failed, pause) in [(0, 100_000), (1, 200_000), (3, 800_000), (40, 1_000_000)] {
        let least = pauses(failed).min().unwrap();
        let most = pauses(failed).max().unwrap();
        assert!(
            least >= pause / 2 && most < pause * 3 / 2,
            "{least} to {most}"
        );
        let distinct: std::collections::BTreeSet<u64> = pauses(failed).collect();
        assert!(distinct.len() > 900);
    }
}

fn endpoint(name: &str, port: u16) -> Endpoint {
    Endpoint {
        name: name.to_owned(),
        address: ([127, 0, 0, 1], port).into(),
        zone: ZoneId(0),
        cell: crate::api::CellId(0),
        status: crate::api::WorkerStatus::Ready,
        capacity: 1.0,
        started_at: None,
    }
}

#[test]
fn staged_entries_keep_their_order_and_the_latest_of_each_name() {
    let mut staged = StagedEndpoints::default();
    for (name, port) in [("a", 1), ("b", 2), ("c", 3), ("a", 4)] {
        staged.stage(endpoint(name, port));
    }
    staged.withdraw("c");
    staged.withdraw("unknown");
    let names = |entries: Vec<Endpoint>| -> Vec<(String, u16)> {
        let pairs = entries.into_iter().map(|e| (e.name, e.address.port()));
        pairs.collect()
    };
    assert_eq!(names(staged.take(1)), [("b".to_owned(), 2)]);
    assert!(!staged.is_empty());
    assert_eq!(names(staged.take(9)), [("a".to_owned(), 4)]);
    assert!(staged.is_empty() && staged.take(1).is_empty());
}
