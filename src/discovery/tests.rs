//! The event stream cut anywhere, and the list of workers that it tells.

use super::*;

fn names() -> Names {
    Names {
        zones: vec!["east".into()],
        ..Names::default()
    }
}

fn notice(status: &str) -> String {
    format!(
        "{{\"rev\":41,\"pool\":{{\"index\":7,\"snapshot\":false,\"endpoints\":[{{\"name\":\"s-00c41f7a\",\
         \"address\":\"10.1.0.9:9090\",\"zone\":\"east\",\"type\":\"std\",\"group\":2,\"status\":\"{status}\",\
         \"weight\":4,\"since_ms\":12}}]}}}}"
    )
}

#[test]
fn chunks_may_be_cut_anywhere() {
    let text = format!(": hi\n\nid: 41\ndata: {}\n\n", notice("SERVING"));
    let (a, b) = text.split_at(17);
    let wire = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{a}\r\n{:x}\r\n{b}\r\n0\r\n\r\n",
        a.len(),
        b.len()
    );
    let (mut feed, mut input, mut events) = (WatchStream::default(), Buffer::default(), Vec::new());
    for byte in wire.as_bytes() {
        input.append(&[*byte]);
        feed.read_events(&mut input, &mut events).unwrap();
    }
    assert!(feed.has_ended());
    assert_eq!((events.len(), events[0].id), (1, Some(41)));
    let n = WatchEvent::parse(&events[0].data, &names()).unwrap();
    let e = &n.endpoints[0];
    assert_eq!(
        (n.revision, n.snapshot, e.zone, e.started_at),
        (41, false, ZoneId(0), Some(12_000))
    );
    assert_eq!(
        EndpointList::default().id_of(&e.name),
        WorkerId(0x00c4_1f7a),
        "the same at every gateway"
    );
}

#[test]
fn workers_that_have_gone_are_forgotten_once_nothing_is_open_to_them() {
    let mut roster = EndpointList::default();
    for n in 0..1000u32 {
        let text = |n: u32, status| notice(status).replace("00c41f7a", &format!("{n:08x}"));
        roster.apply(&WatchEvent::parse(&text(n, "SERVING"), &names()).unwrap());
        let old = n.saturating_sub(3);
        roster.apply(&WatchEvent::parse(&text(old, "DELETED"), &names()).unwrap());
        roster.forget_removed(|w| *w == WorkerId(7));
    }
    assert!(roster.len() == 4 && roster.addresses.len() == 4 && roster.names.len() == 4);
    assert!(
        roster.addresses.contains_key(&WorkerId(7)),
        "something was open to it"
    );
    // A whole list names all there are.
    let whole = notice("SERVING").replace("\"snapshot\":false", "\"snapshot\":true");
    roster.apply(&WatchEvent::parse(&whole, &names()).unwrap());
    roster.forget_removed(|_| false);
    assert_eq!(
        roster.addresses.keys().collect::<Vec<_>>(),
        [&WorkerId(0x00c4_1f7a)]
    );
}

#[test]
fn what_cannot_be_used_is_told_clearly() {
    let told = |text: &str| WatchEvent::parse(text, &names()).unwrap_err().to_string();
    assert_eq!(told("{\"rev\":1}"), "a notice lacks a usable 'pool'");
    assert!(told(&notice("ASLEEP")).ends_with("s-00c41f7a has the state 'ASLEEP'"));
    assert!(
        told(&notice("SERVING").replace("10.1.0.9:9090", "there")).ends_with("the address 'there'")
    );
    assert!(told("{").starts_with("a notice is not JSON"));
    for head in ["HTTP/1.1 503 No\r\n\r\n", "nonsense\r\n\r\n"] {
        let (mut feed, mut input) = (WatchStream::default(), Buffer::default());
        input.append(head.as_bytes());
        assert!(matches!(
            feed.read_events(&mut input, &mut Vec::new()),
            Err(DiscoveryError::Head(_))
        ));
    }
}
