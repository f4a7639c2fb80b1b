use super::*;

const CLEAR: [&str; 4] = [
    "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    "\r\nPOST / HTTP/1.1\r\ncontent-length: 5\r\n\r\na\n\r\n\n",
    "POST / HTTP/1.1\r\nContent-Length:0\r\n\r\n",
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=1\r\n\r\nabc\r\nA \r\n0123456789\r\n0\r\nT: 1\r\n\r\n",
];

fn doubtful_from(text: &str, piece: usize) -> Option<u64> {
    let mut framing = Framing::default();
    text.as_bytes().chunks(piece).for_each(|piece| framing.read(piece));
    framing.doubtful
}

#[test]
fn what_ends_in_one_way_is_not_doubtful_however_it_is_cut() {
    let text = CLEAR.concat();
    for piece in 1..=text.len() {
        assert_eq!(doubtful_from(&text, piece), None, "in pieces of {piece}");
    }
    for message in CLEAR {
        let mut framing = Framing::default();
        framing.read(&message.as_bytes()[..message.len() - 1]);
        assert!(!framing.is_between_messages(), "{message}");
        framing.read(b"\n");
        assert!(framing.is_between_messages(), "{message}");
    }
}

#[test]
fn the_first_head_that_ends_in_two_ways_is_found_behind_others() {
    let (length, chunked) = ("Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n");
    let long = format!("Content-Length: {}5\r\n", " ".repeat(300));
    for headers in [
        format!("{length}{chunked}"),
        format!("{chunked}{length}"),
        format!("{length}{length}"),
        format!("{chunked}{chunked}"),
        "Content-Length: 5, 5\r\n".to_owned(),
        "Transfer-Encoding: gzip, chunked\r\n".to_owned(),
        long,
    ] {
        let text = format!("{}POST / HTTP/1.1\r\n{headers}\r\n", CLEAR.concat());
        for piece in 1..=text.len() {
            assert_eq!(doubtful_from(&text, piece), Some(4), "{headers} in pieces of {piece}");
        }
    }
}
