//! Looks up the C library's own functions behind the ones that this library replaces.

/// The function of this name and type in the libraries loaded after this one, looked up once.
macro_rules! next_symbol {
    ($name:literal, $kind:ty) => {{
        static ADDRESS: std::sync::atomic::AtomicPtr<libc::c_void> =
            std::sync::atomic::AtomicPtr::new(std::ptr::null_mut());
        let mut address = ADDRESS.load(std::sync::atomic::Ordering::Relaxed);
        if address.is_null() {
            // SAFETY: the name is a string that ends with a zero byte.
            address = unsafe { libc::dlsym(libc::RTLD_NEXT, concat!($name, "\0").as_ptr().cast()) };
            ADDRESS.store(address, std::sync::atomic::Ordering::Relaxed);
        }
        // SAFETY: the C library's function of this name has this type.
        unsafe { std::mem::transmute::<*mut libc::c_void, $kind>(address) }
    }};
}
