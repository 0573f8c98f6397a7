#include <array>
#include <filesystem>
#include <iostream>
#include <stdexcept>
#include <string>

#include "scenarios/LuaJson.h"
#include "scenarios/World.h"

namespace {

using namespace poplartrack::scenarios;

/** A primitive word and what carries it out. */
struct Word
{
  const char* name;
  Json (World::*run)(const Json&);
};

constexpr std::array kWords{
  Word{ "spawn", &World::spawn },
  Word{ "ready", &World::ready },
  Word{ "ready_lines", &World::readyLines },
  Word{ "signal", &World::signal },
  Word{ "wait_exit", &World::waitExit },
  Word{ "log", &World::log },
  Word{ "file", &World::file },
  Word{ "http", &World::http },
  Word{ "begin", &World::begin },
  Word{ "progress", &World::progress },
  Word{ "finish", &World::finish },
  Word{ "abandon", &World::abandon },
  Word{ "link", &World::link },
  Word{ "link_do", &World::linkDo },
  Word{ "right", &World::right },
  Word{ "pause", &World::pause },
  Word{ "sha256", &World::sha256 },
  Word{ "relays", &World::startRelays },
  Word{ "relay_fault", &World::relayFault },
  Word{ "relay_begin", &World::relayBegin },
  Word{ "relay_finish", &World::relayFinish },
  Word{ "relay_taken", &World::relayTaken },
  Word{ "relay_verdict", &World::relayVerdict },
};

int
runWord(lua_State* aLua)
{
  auto* world = static_cast<World*>(lua_touserdata(aLua, lua_upvalueindex(1)));
  const auto index = lua_tointeger(aLua, lua_upvalueindex(2));
  std::string problem;
  try {
    const Word& word = kWords.at(static_cast<std::size_t>(index));
    pushJson(aLua, (world->*word.run)(toJson(aLua, 1)));
    return 1;
  } catch (const std::exception& error) {
    problem = error.what();
  }
  // Outside the handler: Lua leaves by longjmp, past no live object.
  lua_pushlstring(aLua, problem.data(), problem.size());
  problem.clear();
  problem.shrink_to_fit();
  return lua_error(aLua);
}

int
decodeJson(lua_State* aLua)
{
  const char* text = luaL_checkstring(aLua, 1);
  pushJson(aLua, Json::parse(text, nullptr, false));
  return 1;
}

int
encodeJson(lua_State* aLua)
{
  const std::string text = toJson(aLua, 1).dump();
  lua_pushlstring(aLua, text.data(), text.size());
  return 1;
}

void
addWords(lua_State* aLua, World& aWorld)
{
  lua_newtable(aLua);
  for (std::size_t i = 0; i < kWords.size(); ++i) {
    lua_pushlightuserdata(aLua, &aWorld);
    lua_pushinteger(aLua, static_cast<lua_Integer>(i));
    lua_pushcclosure(aLua, runWord, 2);
    lua_setfield(aLua, -2, kWords.at(i).name);
  }
  lua_pushcfunction(aLua, decodeJson);
  lua_setfield(aLua, -2, "decode");
  lua_pushcfunction(aLua, encodeJson);
  lua_setfield(aLua, -2, "encode");
  lua_setglobal(aLua, "raw");
}

/** Runs a file; false and a message with the trace when it fails. */
bool
runFile(lua_State* aLua, const std::string& aPath)
{
  lua_getglobal(aLua, "debug");
  lua_getfield(aLua, -1, "traceback");
  lua_remove(aLua, -2);
  const int handler = lua_gettop(aLua);
  if (luaL_loadfile(aLua, aPath.c_str()) == LUA_OK &&
      lua_pcall(aLua, 0, 0, handler) == LUA_OK) {
    lua_remove(aLua, handler);
    return true;
  }
  std::cerr << luaL_tolstring(aLua, -1, nullptr) << '\n';
  return false;
}

} // namespace

/** scenario_runner BUILD PRELUDE SCENARIO: exits 0 when it passes. */
int
main(int argc, char** argv)
{
  constexpr int kArguments = 4;
  if (argc != kArguments) {
    std::cerr << "usage: scenario_runner BUILD PRELUDE SCENARIO\n";
    return 2;
  }
  const std::string scenario = argv[3];
  bool passed = false;
  {
    World world{ argv[1] };
    lua_State* lua = luaL_newstate();
    luaL_openlibs(lua);
    addWords(lua, world);
    passed = runFile(lua, argv[2]) && runFile(lua, scenario);
    lua_close(lua);
    if (!passed) {
      const std::string kept =
        std::string{ argv[1] } + "/failed-logs/" +
        std::filesystem::path{ scenario }.stem().string();
      world.keepLogs(kept);
      std::cout << "logs in " << kept << std::endl;
    }
  }
  std::cout << (passed ? "passed " : "FAILED ") << scenario << std::endl;
  return passed ? 0 : 1;
}
