package lemondrift;
class WarmTest { @net.jqwik.api.Property(seed="1") void a(@net.jqwik.api.ForAll int x) { } }
