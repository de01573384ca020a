#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include "config/toml.h"

#include <cstdio>
#include <new>
#include <string>
#include <string_view>

namespace
{

using item_fn = int (*)(const struct toml_item *item, void *priv);

std::string key_text(std::string_view key)
{
	std::string quoted(1, '"');

	if (!key.empty() &&
	    key.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				  "abcdefghijklmnopqrstuvwxyz0123456789_-") ==
		    std::string_view::npos)
		return std::string(key);
	for (char c : key) {
		/* Problems are one line each. */
		quoted += static_cast<unsigned char>(c) < ' ' ? '?' : c;
	}
	return quoted + '"';
}

struct opt_value value_of(const toml::node &node)
{
	struct opt_value v = {};

	v.type = OPT_VALUE_OTHER;
	if (const auto *i = node.as_integer()) {
		v.type = OPT_VALUE_INT;
		v.number = i->get();
	} else if (const auto *r = node.as_floating_point()) {
		v.type = OPT_VALUE_REAL;
		v.real = r->get();
	} else if (const auto *b = node.as_boolean()) {
		v.type = OPT_VALUE_BOOL;
		v.number = b->get();
	} else if (const auto *s = node.as_string()) {
		/* TOML allows U+0000 in a text, options do not. */
		if (s->get().find('\0') != std::string::npos)
			return v;
		v.type = OPT_VALUE_TEXT;
		v.text = s->get().c_str();
		v.len = s->get().size();
	} else if (node.is_table()) {
		v.type = OPT_VALUE_TABLE;
	}
	return v;
}

void walk(const toml::table &table, const std::string &base, item_fn fn,
	  void *priv)
{
	for (auto &&[key, node] : table) {
		std::string path = base + key_text(key.str());
		struct toml_item item = {};

		item.path = path.c_str();
		item.value = value_of(node);
		item.line = static_cast<int>(key.source().begin.line);
		if (fn(&item, priv) && node.is_table())
			walk(*node.as_table(), path + '.', fn, priv);
	}
}

} // namespace

extern "C" enum err toml_each(const char *text, size_t len, item_fn fn,
			      void *priv, struct toml_fault *fault)
{
	try {
		auto result = toml::parse(std::string_view(text, len));

		if (!result) {
			const auto &e = result.error();
			auto what = e.description();

			fault->line = static_cast<int>(e.source().begin.line);
			snprintf(fault->text, sizeof(fault->text), "%.*s",
				 static_cast<int>(what.size()), what.data());
			return ERR_MALFORMED;
		}
		walk(result.table(), std::string(), fn, priv);
	} catch (const std::bad_alloc &) {
		return ERR_NOMEM;
	}
	return ERR_OK;
}
