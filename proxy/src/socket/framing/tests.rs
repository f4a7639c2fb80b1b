use super::*;

const UNAMBIGUOUS: [&str; 4] = [
    "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    "\r\nPOST / HTTP/1.1\r\ncontent-length: 5\r\n\r\na\n\r\n\n",
    "POST / HTTP/1.1\r\nContent-Length:0\r\n\r\n",
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=1\r\n\r\nabc\r\nA \r\n0123456789\r\n0\r\nT: 1\r\n\r\n",
];

/// The number of the first ambiguous message in `text` when it is parsed in pieces of this size.
fn first_ambiguous(text: &str, piece_size: usize) -> Option<u64> {
    let mut framing = Framing::default();
    for piece in text.as_bytes().chunks(piece_size) {
        framing.parse(piece);
    }
    framing.first_ambiguous
}

#[test]
fn unambiguous_messages_are_recognized_however_the_input_is_split() {
    let text = UNAMBIGUOUS.concat();
    for piece_size in 1..=text.len() {
        assert_eq!(
            first_ambiguous(&text, piece_size),
            None,
            "in pieces of {piece_size}"
        );
    }
    for message in UNAMBIGUOUS {
        let mut framing = Framing::default();
        framing.parse(&message.as_bytes()[..message.len() - 1]);
        assert!(!framing.is_between_messages(), "{message}");
        framing.parse(b"\n");
        assert!(framing.is_between_messages(), "{message}");
    }
}

#[test]
fn the_first_ambiguous_message_is_found_after_unambiguous_ones() {
    let (length, chunked) = ("Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n");
    let long_line = format!("Content-Length: {}5\r\n", " ".repeat(300));
    for headers in [
        format!("{length}{chunked}"),
        format!("{chunked}{length}"),
        format!("{length}{length}"),
        format!("{chunked}{chunked}"),
        "Content-Length: 5, 5\r\n".to_owned(),
        "Transfer-Encoding: gzip, chunked\r\n".to_owned(),
        long_line,
    ] {
        let text = format!("{}POST / HTTP/1.1\r\n{headers}\r\n", UNAMBIGUOUS.concat());
        for piece_size in 1..=text.len() {
            let first = first_ambiguous(&text, piece_size);
            assert_eq!(first, Some(4), "{headers} in pieces of {piece_size}");
        }
    }
}

#[test]
fn every_message_after_an_ambiguous_one_is_ambiguous() {
    let ambiguous = "POST / HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n";
    let text = [ambiguous, &UNAMBIGUOUS.concat(), ambiguous].concat();
    for piece_size in 1..=text.len() {
        assert_eq!(
            first_ambiguous(&text, piece_size),
            Some(0),
            "in pieces of {piece_size}"
        );
    }
    let mut framing = Framing::default();
    framing.parse(text.as_bytes());
    assert!((0..6).all(|number| framing.is_ambiguous(number)));
}
